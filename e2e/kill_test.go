package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"geraniumrouter/protocol/grwire"
	"geraniumrouter/standin/grstanddata"
	"geraniumrouter/standin/grstandplatform"
	"geraniumrouter/standin/grstandupstream"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grident"
	"geraniumrouter/state/grrequestid"
	"geraniumrouter/state/grsnapshot"
	"geraniumrouter/transport/grclient"
)

// TestFaults runs a deployment through killed processes, a suspended process, a platform
// outage and a rolling restart. The subtests share the processes and run in this order;
// each leaves the deployment working, except for the last two, whose searcher stays
// leaving and whose entry instance stays killed.
func TestFaults(t *testing.T) {
	f := startFleet(t, grstanddata.Kinoko())
	f.checkAllCollections()
	t.Run("searchers killed", f.killSearchers)
	t.Run("lost replies of the platform", f.losePlatformReplies)
	t.Run("snapshots change", f.changeSnapshots)
	t.Run("rolling restart", f.rollingRestart)
	t.Run("restart during an outage", f.restartDuringOutage)
	t.Run("suspended entry", f.suspendEntry)
	t.Run("leaving searcher", f.leavingSearcher)
	t.Run("entry killed", f.killEntry)
	f.checkReports()
}

func (f *fleet) checkAllCollections() {
	for _, spec := range f.deployment.Collections {
		f.checkComplete(string(spec.Collection), f.query(string(spec.Collection)))
	}
}

// killSearchers kills the searchers of one failure domain, a quarter of all, and checks that
// queries still return complete answers. It then starts the searchers again.
func (f *fleet) killSearchers(t *testing.T) {
	f.currentTest = t
	f.kill(f.upstreams["d1"])
	for range 10 {
		f.checkAllCollections()
	}
	f.startUpstream("d1")
}

// killEntry kills an entry instance and checks that queries are still answered and that the
// remaining instances take over its share of the connections to the searchers.
func (f *fleet) killEntry(t *testing.T) {
	f.currentTest = t
	f.kill(f.entries[1])
	for range 5 {
		f.checkAllCollections()
	}
	f.eventually("connection share of the killed entry redistributed to the others", func() bool {
		s, ok := f.searcherStatus(0, "dispatch-02/1")
		return ok && s.Share == 25/4-1
	})
}

// losePlatformReplies makes the platform apply writes without replying. A non-idempotent
// request must still be answered, and repeating it must return the first answer. During a
// platform outage such requests must not run, while queries are still answered.
func (f *fleet) losePlatformReplies(t *testing.T) {
	f.currentTest = t
	f.setPlatformFaults(grstandplatform.Faults{LoseReplies: 3})
	id := string(grrequestid.New(grclock.System().Now(), "lost-1"))
	answer := f.request(f.client, id)
	if answer.Outcome != "done" {
		t.Errorf("lost platform replies: outcome %s, code %s, want done", answer.Outcome, answer.Code)
	}
	repeated := f.request(f.client, id)
	if repeated.Outcome != "done" || !repeated.Repeated {
		t.Errorf("repeated request: outcome %s, repeated %v, code %s, want done and repeated", repeated.Outcome, repeated.Repeated, repeated.Code)
	}
	f.setPlatformFaults(grstandplatform.Faults{Outage: true})
	duringOutage := f.request(f.client, string(grrequestid.New(grclock.System().Now(), "down-1")))
	if duringOutage.Outcome != "not_run" {
		t.Errorf("request during a platform outage: outcome %s, code %s, want not_run", duringOutage.Outcome, duringOutage.Code)
	}
	f.checkAllCollections()
	f.setPlatformFaults(grstandplatform.Faults{})
}

// changeSnapshots publishes new index versions and shard maps while queries run. Each answer
// must be complete and contain the records of a single version.
func (f *fleet) changeSnapshots(t *testing.T) {
	f.currentTest = t
	ctx, stop := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	defer wait.Wait() // Also if the test fails.
	defer stop()
	for range 4 {
		wait.Add(1)
		go func() {
			defer wait.Done()
			client := &grclient.Client{Clock: grclock.System(), Seeds: f.client.Seeds}
			for ctx.Err() == nil {
				answer, err := client.Query(context.Background(), grwire.QueryRequest{Collection: "dispatch", DeadlineMS: 20_000})
				if err != nil || answer.Outcome != "done" {
					t.Errorf("query during snapshot changes: error %v, outcome %s, code %s", err, answer.Outcome, answer.Code)
					continue
				}
				f.checkVersion("dispatch", answer.Snapshot.Index, answer)
			}
		}()
	}
	spec := f.deployment.CollectionOf("dispatch-01")
	for version := uint64(2); version <= 6; version++ {
		m := spec.Map(grsnapshot.Version(version), grsnapshot.Version(version), int(version))
		f.publish(grwire.ShardMapTo(m), version-1)
		time.Sleep(150 * time.Millisecond)
	}
	f.eventually("queries answered from the last snapshot", func() bool {
		answer := f.query("dispatch")
		return answer.Snapshot != nil && answer.Snapshot.Index == 6
	})
	f.indexVersions["dispatch"] = 6
}

// publish makes the searchers load a snapshot, dropping those before version oldest, and then
// writes its shard map to the platform: the order in which a real deployment publishes.
func (f *fleet) publish(m grwire.MapWire, oldest uint64) {
	f.currentTest.Helper()
	var ignored json.RawMessage
	for _, domain := range f.deployment.Domains {
		load := grstandupstream.LoadSnapshotRequest{Map: m, OldestIndex: oldest}
		if !f.call(http.MethodPost, f.layout.DomainControlAddress(f.deployment, string(domain)), grstandupstream.LoadSnapshotPath, load, &ignored) {
			f.currentTest.Fatal("the searchers did not accept the snapshot")
		}
	}
	key := grwire.ObjectsPath + "/" + grwire.ShardMapPrefix + m.Collection
	var object grwire.ObjectWire
	if !f.call(http.MethodGet, f.layout.PlatformAddress(), key, nil, &object) {
		f.currentTest.Fatal("reading the shard map from the platform failed")
	}
	if !f.call(http.MethodPut, f.layout.PlatformAddress(), fmt.Sprintf("%s?if_version=%d", key, object.Version), m, &ignored) {
		f.currentTest.Fatal("writing the shard map to the platform failed")
	}
}

// rollingRestart restarts each entry instance in turn under load. No query may fail, and no
// non-idempotent request may be lost or run twice.
func (f *fleet) rollingRestart(t *testing.T) {
	f.currentTest = t
	ctx, stop := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	for worker := range 6 {
		wait.Add(1)
		go func() {
			defer wait.Done()
			f.runLoad(ctx, worker)
		}()
	}
	for i := range f.entries {
		if err := f.entries[i].Process.Signal(syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
		state, err := f.entries[i].Process.Wait()
		if err != nil || state.ExitCode() != 0 {
			t.Errorf("entry %d: exit state %v, error %v, want exit code 0", i, state, err)
		}
		f.startEntry(i)
		f.eventually("entry ready after the restart", func() bool { return f.ready(i) })
	}
	stop()
	wait.Wait()
}

// loadInterval is the pause between two iterations of a worker. It keeps the load well under
// the limit on an instance's platform calls, even if all workers use the same instance.
const loadInterval = 50 * time.Millisecond

// runLoad sends queries and non-idempotent requests until ctx is done. Each request is sent
// twice with the same id.
func (f *fleet) runLoad(ctx context.Context, worker int) {
	client := &grclient.Client{Clock: grclock.System(), Seeds: f.client.Seeds}
	for n := 0; ctx.Err() == nil; n++ {
		time.Sleep(loadInterval)
		answer, err := client.Query(context.Background(), grwire.QueryRequest{Collection: "dispatch", DeadlineMS: 20_000})
		if err != nil || answer.Outcome != "done" || len(answer.Records) != grstanddata.RecordsPerCollection {
			f.currentTest.Errorf("query under load: error %v, outcome %s, code %s, %d records", err, answer.Outcome, answer.Code, len(answer.Records))
		}
		id := string(grrequestid.New(grclock.System().Now(), fmt.Sprintf("load-%d-%d", worker, n)))
		for range 2 {
			if a := f.request(client, id); a.Outcome != "done" {
				f.currentTest.Errorf("request %s: outcome %s, code %s", id, a.Outcome, a.Code)
			}
		}
		f.mu.Lock()
		f.requests[id] = true
		f.mu.Unlock()
	}
}

// restartDuringOutage kills an entry instance and starts it during a platform outage. It must
// become ready with the active preset and the shard maps, which it gets from its peers.
func (f *fleet) restartDuringOutage(t *testing.T) {
	f.currentTest = t
	f.activatePreset("peak")
	f.setPlatformFaults(grstandplatform.Faults{Outage: true})
	f.kill(f.entries[2])
	f.startEntry(2)
	f.eventually("entry ready without the platform", func() bool { return f.ready(2) })
	status, _ := f.entryStatus(2)
	if status.Preset != "peak" || status.Generation != 2 {
		t.Errorf("preset %s generation %d after the restart, want peak generation 2", status.Preset, status.Generation)
	}
	f.setPlatformFaults(grstandplatform.Faults{})
}

// suspendEntry suspends the process of an entry instance. The instance must disappear from the
// list of entries, callers must be served by the others, and the instance must be listed
// again after the process is resumed.
func (f *fleet) suspendEntry(t *testing.T) {
	f.currentTest = t
	signal := func(s syscall.Signal) {
		if err := f.entries[3].Process.Signal(s); err != nil {
			t.Fatal(err)
		}
	}
	signal(syscall.SIGSTOP)
	defer signal(syscall.SIGCONT)
	f.eventually("suspended entry removed from the list", func() bool { return f.listedEntries(0) == 4 })
	f.client = &grclient.Client{Clock: grclock.System(), Seeds: f.client.Seeds}
	f.checkAllCollections()
	signal(syscall.SIGCONT)
	f.eventually("resumed entry listed again", func() bool { return f.listedEntries(0) == 5 })
}

// leavingSearcher makes a searcher report that it is leaving while the platform still lists it
// as live. All instances must treat it as leaving, and queries must still return complete
// answers.
func (f *fleet) leavingSearcher(t *testing.T) {
	f.currentTest = t
	const id = "dispatch-01/1"
	domain := "d1"
	req := grstandupstream.FaultsRequest{ID: id, Faults: grstandupstream.Faults{Leaving: true}}
	control := f.layout.DomainControlAddress(f.deployment, domain)
	var ignored json.RawMessage
	if !f.call(http.MethodPost, control, grstandupstream.FaultsPath, req, &ignored) {
		t.Fatal("setting the leaving state of the searcher failed")
	}
	start := time.Now()
	for i := range f.entries {
		f.eventually("searcher reported as leaving by the entry", func() bool { return f.isLeaving(i, id) })
	}
	t.Logf("all instances report the searcher as leaving after %v", time.Since(start))
	f.checkAllCollections()
}

func (f *fleet) isLeaving(i int, id string) bool {
	s, ok := f.searcherStatus(i, id)
	return ok && s.Leaving
}

// searcherStatus returns the status of a searcher as reported by entry instance i. It returns
// false if that status could not be read or does not list the searcher.
func (f *fleet) searcherStatus(i int, id string) (grwire.SearcherStatus, bool) {
	status, ok := f.entryStatus(i)
	for _, s := range status.Services {
		for _, r := range s.Searchers {
			if r.Searcher == id {
				return r, ok
			}
		}
	}
	return grwire.SearcherStatus{}, false
}

func (f *fleet) entryStatus(i int) (grwire.StatusReply, bool) {
	var status grwire.StatusReply
	ok := f.call(http.MethodGet, f.layout.OperatorAddress(i), grwire.StatusPath, nil, &status)
	return status, ok
}

func (f *fleet) listedEntries(i int) int {
	reply, err := f.client.FetchEntries(context.Background(), f.layout.CallerAddress(i))
	if err != nil {
		return -1
	}
	return len(reply.Entries)
}

func (f *fleet) setPlatformFaults(faults grstandplatform.Faults) {
	f.currentTest.Helper()
	var ignored json.RawMessage
	if !f.call(http.MethodPost, f.layout.PlatformAddress(), grstandplatform.FaultsPath, faults, &ignored) {
		f.currentTest.Fatal("setting the platform's faults failed")
	}
}

func (f *fleet) request(client *grclient.Client, id string) grwire.Answer {
	req := grwire.OnceRequest{RequestID: id, Collection: "dispatch", Key: uint64(grident.Hash(id) >> 32), DeadlineMS: 20_000}
	answer, err := client.Request(context.Background(), req)
	if err != nil {
		f.currentTest.Errorf("request %s: %v", id, err)
	}
	return answer
}

// checkReports checks the searchers' counters: no connection was refused because of the
// connection limit, no request ran more than once, and each request that was answered
// under load ran exactly once.
func (f *fleet) checkReports() {
	ran := make(map[string]int)
	for _, domain := range f.deployment.Domains {
		var reports []grstandupstream.Report
		if !f.call(http.MethodGet, f.layout.DomainControlAddress(f.deployment, string(domain)), grstandupstream.ReportsPath, nil, &reports) {
			f.currentTest.Fatalf("reading the reports of the searchers in %s failed", domain)
		}
		for _, r := range reports {
			if r.RefusedConns > 0 {
				f.currentTest.Errorf("searcher %s refused %d connections and held at most %d", r.ID, r.RefusedConns, r.PeakConns)
			}
			for id, n := range r.Runs {
				ran[id] += n
			}
		}
	}
	for id, n := range ran {
		if n > 1 {
			f.currentTest.Errorf("request %s ran %d times, want at most once", id, n)
		}
	}
	for id := range f.requests {
		if ran[id] != 1 {
			f.currentTest.Errorf("request %s was answered but ran %d times, want once", id, ran[id])
		}
	}
	for i := range f.entries {
		var counters map[string]struct {
			Count int `json:"count"`
		}
		if f.call(http.MethodGet, f.layout.OperatorAddress(i), grwire.MetricsPath, nil, &counters) {
			f.currentTest.Logf("entry %d: %d claims granted in %d writes, %d platform puts and %d gets, of which over the limit: %d puts and %d gets",
				i, counters["claims_granted"].Count, counters["claims_writes"].Count, counters["platform_calls_put"].Count,
				counters["platform_calls_get"].Count, counters["platform_calls_put_overrun"].Count, counters["platform_calls_get_overrun"].Count)
		}
	}
	f.currentTest.Logf("%d requests sent during the rolling restart; %d requests ran in total", len(f.requests), len(ran))
}
