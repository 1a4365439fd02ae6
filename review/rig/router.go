package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
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

// router is one process of the system, started as the deploy file says.
type router struct {
	name, zone, ip              string
	front, readiness, directory string
	control                     string
	settings                    string
	record                      *recorder

	mu  sync.Mutex
	cmd *exec.Cmd
	log *os.File
}

var (
	routersMu sync.Mutex
	routers   []*router
	logDir    string
)

// zones of the stand-in deployment and the number of front machines in each, as on the
// sheet of the kinoko-search site.
var frontZones = []string{"obihiro", "obihiro", "kushiro", "nakashibetsu", "shihoro"}

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
cpu_share = 0.4
cpu_cores = 1
memory_mb = 284
file_descriptors = 4100
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
[platform]
address = "%[9]s"
form = "objects"
writes_per_s = 400
reads_per_s = 2000
history_retention_s = 20
max_value_bytes = 1048576
min_ttl_ms = 1000
`

// grownSettings turns the figures of the kinoko-search site into those of
// kinoko-search-grown.
var grownSettings = strings.NewReplacer(
	"cpu_share = 0.4", "cpu_share = 0.448", "memory_mb = 284", "memory_mb = 404", "file_descriptors = 4100", "file_descriptors = 8192",
	"link_bandwidth_mbps = 1000.0", "link_bandwidth_mbps = 86.0", "stability_window_ms = 4000", "stability_window_ms = 5000",
	"ack_timeout_ms = 5000", "ack_timeout_ms = 8000", "catch_up_s = 4", "catch_up_s = 6", "drain_timeout_ms = 3000", "drain_timeout_ms = 5000",
	"config_apply_ms = 3000", "config_apply_ms = 5000", "max_stretch_ms = 12000", "max_stretch_ms = 15000",
	"budget_extra_retries = 54", "budget_extra_retries = 202", "recovery_s = 12", "recovery_s = 15",
	"writes_per_s = 400", "writes_per_s = 1200", "reads_per_s = 2000", "reads_per_s = 6000",
)

// pickSubnet returns the first three bytes of a loopback network in which nothing
// listens on the port of the routers' metrics.
func pickSubnet() (string, error) {
	for range 50 {
		subnet := fmt.Sprintf("127.%d.%d", 16+rand.IntN(200), 1+rand.IntN(250))
		l, err := net.Listen("tcp", subnet+".1:9464")
		if err == nil {
			l.Close()
			return subnet, nil
		}
	}
	return "", errors.New("no free loopback network")
}

func freeAddress(ip string) (string, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// prepareRouters writes the settings of count routers. It starts none.
func prepareRouters(r *recorder, subnet, storeAddress string, count int, grown bool) ([]*router, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	logDir = dir
	var list []*router
	var seeds []string
	for i := range count {
		n := &router{name: fmt.Sprintf("front-%s-%d", frontZones[i%len(frontZones)], i+1), zone: frontZones[i%len(frontZones)], ip: fmt.Sprintf("%s.%d", subnet, i+1), record: r}
		for _, address := range []*string{&n.front, &n.readiness, &n.control, &n.directory} {
			if *address, err = freeAddress(n.ip); err != nil {
				return nil, err
			}
		}
		if i < 3 {
			seeds = append(seeds, `"`+n.control+`"`)
		}
		list = append(list, n)
	}
	for _, n := range list {
		n.settings = filepath.Join(dir, n.name+".toml")
		text := fmt.Sprintf(settingsText, n.name, n.ip, n.zone, strings.Join(seeds, ","), n.front, n.readiness, n.control, n.directory, storeAddress)
		if grown {
			text = grownSettings.Replace(text)
		}
		if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
			return nil, err
		}
	}
	routersMu.Lock()
	routers = append(routers, list...)
	routersMu.Unlock()
	return list, nil
}

// start starts the process with the command of the deploy file.
func (n *router) start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.log == nil {
		f, err := os.Create(filepath.Join(logDir, n.name+".log"))
		if err != nil {
			return err
		}
		n.log = f
	}
	cmd := exec.Command("target/geraniumrouter", "platform", "--metrics-port", "9464")
	cmd.Env = []string{"GERANIUMROUTER_NODE_FILE=" + n.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	cmd.Stdout, cmd.Stderr = n.log, n.log
	if err := cmd.Start(); err != nil {
		return err
	}
	n.cmd = cmd
	n.record.line(n.name, "process started")
	return nil
}

// signal sends a signal to the process.
func (n *router) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd != nil {
		n.record.line(n.name, "signal %v", s)
		_ = n.cmd.Process.Signal(s) // Fails only if the process has ended.
	}
}

// kill ends the process with SIGKILL and waits for its end.
func (n *router) kill() {
	n.signal(syscall.SIGKILL)
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd != nil {
		_ = n.cmd.Wait() // The process was killed.
		n.cmd = nil
	}
}

// stopRouters kills all routers and removes their settings and logs.
func stopRouters() {
	routersMu.Lock()
	defer routersMu.Unlock()
	for _, n := range routers {
		n.kill()
	}
	routers = nil
	if logDir != "" && os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(logDir) // A temporary folder.
	}
}

// waitReady waits until all routers report that they are ready.
func waitReady(list []*router, timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, n := range list {
		for {
			if r, err := client.Get("http://" + n.readiness + "/readiness"); err == nil {
				r.Body.Close()
				if r.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", n.name)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}
