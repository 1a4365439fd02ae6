// Package e2e contains end-to-end tests that run the platform, the searchers and the
// entry instances as separate processes.
package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io/fs"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"geraniumrouter/protocol/grwire"
	"geraniumrouter/standin/grstanddata"
	"geraniumrouter/standin/grstanddemo"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grident"
	"geraniumrouter/state/grsnapshot"
	"geraniumrouter/transport/grclient"
)

// waitTimeout is the timeout of every wait for a condition. A test that reaches it fails.
const waitTimeout = 60 * time.Second

// fleet is a deployment that runs as separate processes.
type fleet struct {
	currentTest   *testing.T // of the running subtest
	rootTest      *testing.T // of the whole test; outlives the subtests
	deployment    grstanddata.Deployment
	layout        grstanddemo.Layout
	bin           string
	platform      *exec.Cmd
	upstreams     map[grident.FailureDomain]*exec.Cmd
	entries       [grstanddemo.EntryCount]*exec.Cmd
	client        *grclient.Client
	mu            sync.Mutex
	requests      map[string]bool   // ids of the requests sent under load, all expected to be answered
	indexVersions map[string]uint64 // current index version by collection; 1 if absent
}

func startFleet(t *testing.T, d grstanddata.Deployment) *fleet {
	t.Helper()
	if testing.Short() {
		t.Skip("tests with separate processes are skipped in short mode")
	}
	f := &fleet{currentTest: t, rootTest: t, deployment: d, layout: grstanddemo.Layout{Port: freePortBlock(t)}, bin: t.TempDir()}
	f.buildPrograms()
	f.upstreams = make(map[grident.FailureDomain]*exec.Cmd)
	f.requests = make(map[string]bool)
	f.indexVersions = make(map[string]uint64)
	port := fmt.Sprint(f.layout.Port)
	f.platform = f.startProcess("geraniumstandin", "platform", "--deployment", d.Name, "--port", port)
	for _, domain := range d.Domains {
		f.startUpstream(domain)
	}
	f.client = &grclient.Client{Clock: grclock.System()}
	for i := range f.entries {
		f.client.Seeds = append(f.client.Seeds, f.layout.CallerAddress(i))
		f.startEntry(i)
	}
	f.activatePreset("ordinary")
	return f
}

// buildPrograms builds the programs. It reads their source files first to make them inputs
// of the test: go test would otherwise reuse a cached result after a change of the
// programs, most of whose packages the test does not import.
func (f *fleet) buildPrograms() {
	for _, folder := range []string{"cmd", "transport", "protocol", "coordination", "state", "standin"} {
		err := filepath.WalkDir(filepath.Join("..", folder), func(path string, entry fs.DirEntry, err error) error {
			if err == nil && !entry.IsDir() {
				_, err = os.ReadFile(path)
			}
			return err
		})
		if err != nil {
			f.currentTest.Fatal(err)
		}
	}
	for _, program := range []string{"geraniumrouter", "geraniumstandin"} {
		build := exec.Command("go", "build", "-o", filepath.Join(f.bin, program), "../cmd/"+program)
		if out, err := build.CombinedOutput(); err != nil {
			f.currentTest.Fatalf("build %s: %v\n%s", program, err, out)
		}
	}
}

func (f *fleet) startProcess(program string, args ...string) *exec.Cmd {
	c := exec.Command(filepath.Join(f.bin, program), args...)
	var output bytes.Buffer
	c.Stdout, c.Stderr = &output, &output
	if err := c.Start(); err != nil {
		f.currentTest.Fatal(err)
	}
	f.rootTest.Cleanup(func() {
		_ = c.Process.Kill()
		_ = c.Wait()
		if f.rootTest.Failed() && output.Len() > 0 {
			f.rootTest.Logf("%s %s:\n%s", program, strings.Join(args, " "), tail(output.String(), 2000))
		}
	})
	return c
}

// startUpstream starts the searchers of one failure domain.
func (f *fleet) startUpstream(domain grident.FailureDomain) {
	f.upstreams[domain] = f.startProcess("geraniumstandin", "upstream", "--deployment", f.deployment.Name,
		"--port", fmt.Sprint(f.layout.Port), "--service-ms", "5", "--failure-domain", string(domain))
}

func tail(text string, n int) string { return text[max(0, len(text)-n):] }

// startEntry starts an entry instance from a settings file.
func (f *fleet) startEntry(i int) {
	s := f.layout.Settings(f.deployment, i)
	var seeds []string
	for _, a := range s.PeerSeeds {
		seeds = append(seeds, string(a))
	}
	text := fmt.Sprintf("[instance]\nid = %s\nfailure_domain = %s\n[listen]\ncallers = %s\npeers = %s\noperators = %s\n"+
		"[platform]\naddresses = %s\npeer_seeds = %s\n[entries]\nttl_ms = 500\n",
		s.Instance, s.FailureDomain, s.CallerAddress, s.PeerAddress, s.OperatorAddress, s.PlatformAddresses[0], strings.Join(seeds, ","))
	file := filepath.Join(f.bin, string(s.Instance)+".ini")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		f.currentTest.Fatal(err)
	}
	f.entries[i] = f.startProcess("geraniumrouter", "serve", "--settings", file)
}

// kill kills a process with SIGKILL and waits for it.
func (f *fleet) kill(c *exec.Cmd) {
	_ = c.Process.Signal(syscall.SIGKILL)
	_, _ = c.Process.Wait()
}

// eventually polls the condition until it holds. The test fails if it does not hold within
// waitTimeout.
func (f *fleet) eventually(what string, condition func() bool) {
	f.currentTest.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return
		}
	}
	f.currentTest.Fatalf("timed out waiting for: %s", what)
}

// call sends a request to an HTTP port of the deployment and decodes the reply. It reports
// whether the call succeeded with status 200.
func (f *fleet) call(method string, address grident.Address, path string, body, into any) bool {
	status, err := f.client.Call(context.Background(), address, method, path, 10*grclock.Second, body, into)
	return err == nil && status == http.StatusOK
}

// activatePreset stores a preset, switches to it and waits until every entry instance is ready.
func (f *fleet) activatePreset(name string) {
	f.currentTest.Helper()
	var stored grwire.PutPresetReply
	put := grwire.PutPresetRequest{Operation: "put-" + name, Preset: grstanddemo.Preset(f.deployment, name)}
	put.Preset.Default.DeadlineMS = 20_000
	f.eventually("preset stored", func() bool {
		return f.call(http.MethodPost, f.layout.OperatorAddress(0), grwire.PresetsPath, put, &stored)
	})
	var active grwire.ActiveWire
	change := grwire.SwitchRequest{Operation: "switch-" + name, Name: name}
	f.eventually("switch accepted", func() bool {
		return f.call(http.MethodPost, f.layout.OperatorAddress(0), grwire.SwitchPath, change, &active)
	})
	for i := range f.entries {
		f.eventually("ready", func() bool { return f.ready(i) })
	}
}

func (f *fleet) ready(i int) bool {
	var ignored json.RawMessage
	return f.call(http.MethodGet, f.layout.CallerAddress(i), grwire.ReadyPath, nil, &ignored)
}

func (f *fleet) query(collection string) grwire.Answer {
	f.currentTest.Helper()
	answer, err := f.client.Query(context.Background(), grwire.QueryRequest{Collection: collection, DeadlineMS: 20_000})
	if err != nil {
		f.currentTest.Errorf("query %s: %v", collection, err)
	}
	return answer
}

// checkComplete checks that an answer is complete and contains the expected records.
func (f *fleet) checkComplete(collection string, a grwire.Answer) {
	f.currentTest.Helper()
	if a.Outcome != "done" || a.Coverage != 1 || a.Snapshot == nil {
		f.currentTest.Errorf("%s: outcome %s, coverage %v, code %s", collection, a.Outcome, a.Coverage, a.Code)
		return
	}
	f.checkVersion(collection, max(f.indexVersions[collection], 1), a)
}

// checkVersion checks that the answer contains exactly the records of an index version.
func (f *fleet) checkVersion(collection string, index uint64, a grwire.Answer) {
	f.currentTest.Helper()
	want := grwire.RecordsTo(grstanddata.Records(grident.Collection(collection), grsnapshot.Version(index), grstanddata.KeySpace))
	if len(want) != len(a.Records) {
		f.currentTest.Errorf("%s: %d records, want %d", collection, len(a.Records), len(want))
		return
	}
	for i := range want {
		if want[i] != a.Records[i] {
			f.currentTest.Errorf("%s: record %d is %v, want %v", collection, i, a.Records[i], want[i])
			return
		}
	}
}

// Port range of these tests: below the system's ephemeral ports and disjoint from the ports
// of other packages' tests. Each run uses a block of portBlockSize ports.
const (
	firstPort     = 10_000
	lastPort      = 22_000
	portBlockSize = 300
)

// freePortBlock returns the first port of a block that appears to be free. It probes only some
// ports of each block and starts at a block chosen by process id, so that parallel runs
// rarely meet.
func freePortBlock(t *testing.T) int {
	for base := firstPort + os.Getpid()%20*portBlockSize; base < lastPort; base += portBlockSize {
		if portBlockFree(base) {
			return base
		}
	}
	t.Fatal("no free block of ports in the range of these tests")
	return 0
}

func portBlockFree(base int) bool {
	for _, offset := range []int{0, 1, 10, 20, 30, 100, 150, 207} {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", base+offset))
		if err != nil {
			return false
		}
		l.Close()
	}
	return true
}
