// Command standin-3 plays the cases of review/11 to review/15 that are scripts: it starts stand-ins
// for the platform's store, the searchers and the clients, and instances of geraniumrouter as
// separate processes with the command of the deploy file.
package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// world holds the stand-ins of a case and what they recorded.
type world struct {
	store     *store
	dir       string // temporary
	record    *os.File
	start     time.Time
	instances []*instance
	config    map[string]any

	mu    sync.Mutex
	runs  []run
	lines int
}

// instance is one process of geraniumrouter.
type instance struct {
	world                                *world
	name, ip, zone                       string
	front, readiness, control, directory string
	seeds                                []string
	cmd                                  *exec.Cmd
	done                                 chan struct{}
}

func newWorld(recordPath string) (*world, error) {
	w := &world{start: time.Now()}
	var err error
	if w.record, err = os.Create(recordPath); err != nil {
		return nil, err
	}
	if w.dir, err = os.MkdirTemp("", "review-3-"); err != nil {
		return nil, err
	}
	w.store, err = newStore()
	return w, err
}

// note writes a line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lines++
	fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.start).Seconds(), fmt.Sprintf(format, args...))
}

func (w *world) noteRun(r run) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs = append(w.runs, r)
	return len(w.runs) - 1
}

func (w *world) noteEnd(index int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs[index].ended = true
}

// close ends every process that was started.
func (w *world) close() {
	for _, i := range w.instances {
		if i.cmd != nil && !i.hasEnded() {
			_ = i.cmd.Process.Signal(syscall.SIGCONT)
			_ = i.cmd.Process.Kill()
			<-i.done
		}
	}
	_ = os.RemoveAll(w.dir)
	_ = w.record.Close()
}

// freeAddresses returns addresses at which nothing listens.
func freeAddresses(ip string, n int) ([]string, error) {
	var list []string
	for range n {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		defer l.Close() // Only at the end, so that no address comes twice.
		list = append(list, l.Addr().String())
	}
	return list, nil
}

var zones = []string{"obihiro", "kushiro", "nakashibetsu", "shihoro"}

// addInstances prepares the instances, each at a loopback address of its own.
func (w *world) addInstances(n int) error {
	subnet := 20 + os.Getpid()%200
	for k := range n {
		i := &instance{world: w, name: fmt.Sprintf("front-%d", k+1), ip: fmt.Sprintf("127.0.%d.%d", subnet, 11+k), zone: zones[k%len(zones)]}
		list, err := freeAddresses(i.ip, 4)
		if err != nil {
			return err
		}
		i.front, i.readiness, i.control, i.directory = list[0], list[1], list[2], list[3]
		w.instances = append(w.instances, i)
	}
	for _, i := range w.instances {
		for _, o := range w.instances[:min(3, n)] {
			i.seeds = append(i.seeds, o.control)
		}
	}
	return nil
}

const settingsText = `node_name = "%[1]s"
role = "entry"
machine_class = "front"
serves = ["front","control","directory"]
ip_address = "%[2]s"
zone = "%[3]s"
region = "doto"
internal_port_range = [7380,7395]
seed_nodes = [%[4]s]
bootstrap = true
counted_in_tolerance = false
discovery = "platform"
entry = "directory"
heartbeat_interval_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","scatter","platform"]
[zones]
obihiro = "doto"
kushiro = "doto"
nakashibetsu = "doto"
shihoro = "doto"
[listen_addresses]
front = "%[5]s"
readiness = "%[6]s"
control = "%[7]s"
directory = "%[8]s"
[limits]
cpu_share = 0.8
cpu_cores = 1
memory_mb = 544
file_descriptors = 8200
link_bandwidth_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 0
regions = 0
[bounds]
seed_lag_s = 3
address_reuse_s = 2
stability_window_ms = 4000
ack_timeout_ms = 5000
catch_up_s = 4
drain_timeout_ms = 3000
grace_period_s = 6
loss_slack_ms = 200
config_apply_ms = 3000
rollback_slack_ms = 250
max_stretch_ms = 12000
retry_budget_ratio = 0.2
budget_window_s = 10
budget_extra_retries = 54
recovery_s = 12
ttl_max_s = 5
quota_window_s = 5
quota_overshoot = 0.1
quota_slack = 20
[platform]
address = "%[9]s"
form = "objects"
writes_per_s = 400
reads_per_s = 2000
history_retention_s = 20
max_value_bytes = 1048576
min_ttl_ms = 1000
`

// startInstance starts the process with the command of deploy/system.toml.
func (i *instance) startInstance() error {
	quoted := make([]string, len(i.seeds))
	for k, s := range i.seeds {
		quoted[k] = `"` + s + `"`
	}
	file := filepath.Join(i.world.dir, i.name+".toml")
	text := fmt.Sprintf(settingsText, i.name, i.ip, i.zone, strings.Join(quoted, ","), i.front, i.readiness, i.control, i.directory, i.world.store.address)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(i.world.dir, i.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/geraniumrouter", "platform", "--metrics-port", "9464")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "GERANIUMROUTER_NODE_FILE=" + file}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	i.cmd, i.done = cmd, make(chan struct{})
	done := i.done
	go func() {
		err := cmd.Wait()
		_ = log.Close()
		i.world.note("process %s ended: %v", i.name, err)
		close(done)
	}()
	i.world.note("process %s started at %s", i.name, i.front)
	return nil
}

func (i *instance) hasEnded() bool {
	select {
	case <-i.done:
		return true
	default:
		return false
	}
}

// signal sends a signal to the process.
func (i *instance) signal(s syscall.Signal) {
	i.world.note("signal %v to %s", s, i.name)
	_ = i.cmd.Process.Signal(s)
}

// isReady asks the readiness address.
func (i *instance) isReady() bool {
	client := http.Client{Timeout: time.Second}
	r, err := client.Get("http://" + i.readiness + "/readiness")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// startInstances starts instances and waits until they are ready.
func (w *world) startInstances(list ...*instance) error {
	for _, i := range list {
		if err := i.startInstance(); err != nil {
			return err
		}
	}
	end := time.Now().Add(15 * time.Second)
	for _, i := range list {
		for !i.isReady() {
			if time.Now().After(end) {
				return fmt.Errorf("%s did not become ready", i.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// failed notes why a case could not run.
func (w *world) failed(err error) int {
	w.result("could not run: %v", err)
	return notRun
}

// result writes a line to the record and to standard output.
func (w *world) result(format string, args ...any) {
	w.note(format, args...)
	fmt.Printf(format+"\n", args...)
}

// noteRequests writes each request to the record: when it was sent and where to, the answer, and
// who ran it when.
func (w *world) noteRequests(c *client) {
	runs := make(map[string][]run)
	for _, r := range w.runs {
		runs[r.id] = append(runs[r.id], r)
	}
	at := func(t time.Time) float64 { return t.Sub(w.start).Seconds() }
	for _, a := range c.attempts {
		line := fmt.Sprintf("sent %.3f to %s: %s %s id %s; answer %.3f status %d", at(a.sent), a.to, a.method, a.target, a.id, at(a.ended), a.status)
		for _, r := range runs[a.id] {
			line += fmt.Sprintf("; run %.3f by %s", at(r.at), r.searcher)
		}
		w.note("%s", line)
	}
}

// service describes a service of the configuration.
func service(name string, connLimit int) map[string]any {
	return map[string]any{"name": name, "health_path": "/health", "connection_limit": connLimit, "protocol": "h1", "tls": false}
}

// noteRegistered writes to the record which instances the store holds.
func (w *world) noteRegistered() {
	w.store.mu.Lock()
	defer w.store.mu.Unlock()
	for kind, objects := range w.store.kinds {
		if kind == "servers" || kind == "config" {
			continue
		}
		names := []string{}
		for name := range objects {
			names = append(names, name)
		}
		w.note("the store holds of kind %s: %v", kind, names)
	}
}

// route describes a route of the configuration.
type route map[string]any

func (w *world) setConfig(version int, routes []route, services []map[string]any, tenants []map[string]any) {
	c := map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
	if tenants != nil {
		c["tenants"] = tenants
	}
	w.config = c
	w.store.put("config", "main", c)
	w.note("configuration %d acknowledged", version)
}
