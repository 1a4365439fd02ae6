package grcluster

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"geraniumrouter/coordination/grconnlimit"
	"geraniumrouter/coordination/grlease"
	"geraniumrouter/coordination/grregistry"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grident"
)

// Figures of the simulated deployment.
const (
	simInstances    = 5
	simSearchers    = 20
	simStep         = 10 * grclock.Millisecond
	simPollInterval = 50 * grclock.Millisecond  // of a waiting watch
	simRoleCheck    = 200 * grclock.Millisecond // between two checks whether to watch
	simRetry        = 300 * grclock.Millisecond // after a failed read
	simRestart      = 500 * grclock.Millisecond // after a kill
	simSilentCall   = grclock.Second            // until a read without an answer fails
	simReturn       = 2 * grclock.Second        // within which expired entries are back after an outage
	simWatchWait    = 3 * maxRemovalTime / 8    // of a watch without changes
	simLapseTime    = 2400 * grclock.Millisecond
	maxRemovalTime  = 3 * grclock.Second // from the removal of an entry until no undisturbed instance uses the searcher
	simTouchWindow  = 4 * grclock.Second // since a disturbance
)

// simStore is the platform's list of searchers with its history.
type simStore struct {
	revision    grident.Revision
	entries     map[grident.SearcherID]ListedSearcher
	history     []ListedSearcher // removals as Gone
	historyFrom grident.Revision // older history is gone
	down        bool             // refuses all calls
	silent      bool             // answers no call
}

func (s *simStore) put(id grident.SearcherID) {
	s.revision++
	e := ListedSearcher{Revision: s.revision}
	e.ID, e.Service, e.CreatedRevision = id, "a", s.revision
	s.entries[id] = e
	s.history = append(s.history, e)
}

func (s *simStore) remove(id grident.SearcherID) {
	e := s.entries[id]
	delete(s.entries, id)
	s.revision++
	e.State, e.Revision = Gone, s.revision
	s.history = append(s.history, e)
}

// changesSince returns the changes after a revision.
func (s *simStore) changesSince(revision grident.Revision) []ListedSearcher {
	first := slices.IndexFunc(s.history, func(e ListedSearcher) bool { return e.Revision > revision })
	if first < 0 {
		return nil
	}
	return s.history[first:]
}

// simInstance is one instance with the loop that reads the platform's list.
type simInstance struct {
	cluster     *Cluster
	out         Output
	run         grident.Incarnation
	alive       bool
	frozenUntil grclock.Millis
	disturbedAt grclock.Millis // last kill, start or freeze
	turnedAway  bool           // the platform does not answer this instance
	cut         bool           // no messages to and from other instances
	revision    grident.Revision
	listed      bool
	nextRead    grclock.Millis
	calling     bool           // a call has no answer yet
	calledAt    grclock.Millis // when the last call was sent
	callWait    grclock.Millis // how long the platform may wait with its answer to it
	until       grclock.Millis // of the lease, as known outside of the state machine
	heldFor     grclock.Millis // how long the lease has been at an end while it ran
	longestHold grclock.Millis
	nextTick    grclock.Millis
	inbox       []simMessage
}

type simMessage struct {
	at       grclock.Millis
	from     int
	message  Message
	askedAt  grclock.Millis
	isAnswer bool
	isEmpty  bool // an answer that only acknowledges
}

type simFleet struct {
	now       grclock.Millis
	random    grident.Random
	store     simStore
	instances []*simInstance
	removedAt map[grident.SearcherID]grclock.Millis
	lossShare float64        // of the messages between instances
	latestUse grclock.Millis // of a searcher after it left
	calls     int            // to the platform
	onStep    func(i int)    // called before each step of a running instance; may be nil
}

func newSimFleet(seed uint64) *simFleet { return newSimFleetOf(seed, simInstances) }

func newSimFleetOf(seed uint64, size int) *simFleet {
	f := &simFleet{random: grident.Random{State: seed}, removedAt: make(map[grident.SearcherID]grclock.Millis), lossShare: 0.01}
	f.instances = make([]*simInstance, size)
	f.store.entries = make(map[grident.SearcherID]ListedSearcher)
	for i := range simSearchers {
		f.store.put(grident.SearcherID(fmt.Sprintf("s%02d", i)))
	}
	for i := range f.instances {
		f.instances[i] = &simInstance{}
		f.start(i)
	}
	return f
}

func simAddress(i int) grident.Address { return grident.Address(fmt.Sprintf("i%d", i)) }

func (f *simFleet) start(i int) {
	in := f.instances[i]
	run := in.run + 1
	*in = simInstance{run: run, alive: true, disturbedAt: f.now, turnedAway: in.turnedAway}
	member := Member{PeerAddress: simAddress(i), Domain: grident.FailureDomain(fmt.Sprintf("d%d", i%4))}
	member.Member = grconnlimit.Member{ID: grident.InstanceID(simAddress(i)), Incarnation: run}
	in.cluster = &Cluster{
		Self: member, Seeds: []grident.Address{simAddress(0), simAddress(1), simAddress(2)}, Random: grident.Random{State: uint64(f.random.IntN(1 << 30))},
		PushImmediately: true, UncoordinatedDivisor: true, WatcherCount: 2,
		ViewBound: maxRemovalTime, EntryLapseTime: simLapseTime,
	}
	in.cluster.Init(f.now, &in.out)
	f.sendOut(i)
}

func (f *simFleet) kill(i int) {
	f.instances[i].alive, f.instances[i].disturbedAt = false, f.now
}

func (f *simFleet) freeze(i int, span grclock.Millis) {
	f.instances[i].frozenUntil, f.instances[i].disturbedAt = f.now+span, f.now+span
}

// sendOut sends the messages that an instance has put out.
func (f *simFleet) sendOut(i int) {
	in := f.instances[i]
	messages := slices.Clone(in.out.Messages)
	in.out.Reset()
	for _, m := range messages {
		f.send(i, m)
	}
	in.until = in.cluster.ViewUntil(f.now)
}

func (f *simFleet) send(from int, m Outgoing) {
	f.post(from, m, simMessage{from: from, message: m.Message, askedAt: f.now})
}

// post delivers a message or an answer some time later, unless it is lost.
func (f *simFleet) post(from int, m Outgoing, posted simMessage) {
	to := slices.IndexFunc(f.instances, func(in *simInstance) bool { return in.cluster.Self.PeerAddress == m.To })
	if !f.instances[to].alive {
		in := f.instances[from]
		in.cluster.ConnectionRefused(f.now, m.To, m.Incarnation, &in.out)
		f.sendOut(from)
		return
	}
	if f.random.Float64() < f.lossShare || f.instances[from].cut || f.instances[to].cut {
		return
	}
	posted.at = f.now + simStep*grclock.Millis(1+f.random.IntN(2))
	f.instances[to].inbox = append(f.instances[to].inbox, posted)
}

// receive handles the messages that are due, and sends the answers.
func (f *simFleet) receive(i int) {
	in := f.instances[i]
	inbox := in.inbox
	in.inbox = nil
	for _, m := range inbox {
		if m.at > f.now {
			in.inbox = append(in.inbox, m)
			continue
		}
		in.cluster.Turn(f.now)
		sender := f.instances[m.from]
		to := Outgoing{To: simAddress(m.from), Incarnation: sender.run}
		if m.isAnswer {
			in.cluster.Acknowledged(f.now, m.askedAt, sender.cluster.Self.ID)
		}
		if !m.isEmpty {
			answer, ok := in.cluster.Receive(f.now, m.message, &in.out)
			to.Message = answer
			switch {
			case !m.isAnswer:
				f.post(i, to, simMessage{from: i, message: answer, askedAt: m.askedAt, isAnswer: true, isEmpty: !ok})
			case ok:
				f.send(i, to)
			}
		}
		if m.isAnswer {
			in.cluster.LearnView(f.now, m.askedAt, &m.message)
		}
		f.sendOut(i)
	}
}

// read runs the loop that reads the platform's list. A call that waits keeps it from sending
// another one.
func (f *simFleet) read(i int) {
	in := f.instances[i]
	if f.now < in.nextRead {
		return
	}
	in.nextRead = f.now + simPollInterval
	in.cluster.Turn(f.now)
	if !in.calling {
		if in.revision > 0 && !in.cluster.Reads(f.now)[grlease.Searchers] {
			in.nextRead = f.now + simRoleCheck
			return
		}
		f.call(i)
	}
	switch {
	case f.store.down, in.turnedAway, f.store.silent && f.now-in.calledAt >= in.callWait+simSilentCall:
		f.callFailed(i)
	case !f.store.silent:
		f.answerCall(i)
	}
}

// call sends the next call of an instance.
func (f *simFleet) call(i int) {
	in := f.instances[i]
	in.calling, in.calledAt, in.callWait = true, f.now, 0
	f.calls++
	if in.revision > 0 {
		in.callWait = grlease.WatchWait(f.now, in.cluster.DoubtAt(grlease.Searchers), simWatchWait)
	}
	for source := range grlease.SourceCount {
		in.cluster.ReadBegan(source, f.now, in.callWait)
	}
}

func (f *simFleet) callFailed(i int) {
	in := f.instances[i]
	in.calling, in.nextRead = false, f.now+simRetry
	for source := range grlease.SourceCount {
		in.cluster.ReadFailed(f.now, source, in.calledAt)
	}
	in.cluster.SetPlatformReachable(f.now, false, &in.out)
	f.sendOut(i)
}

// answerCall answers the call of an instance, unless it waits for changes.
func (f *simFleet) answerCall(i int) {
	in := f.instances[i]
	if in.revision < f.store.historyFrom {
		in.revision = 0
	}
	changes := f.store.changesSince(in.revision)
	asOf := in.calledAt
	switch {
	case in.revision == 0:
		list := slices.Collect(maps.Values(f.store.entries))
		in.cluster.ListSearchers(f.now, list, f.store.revision, !in.listed, &in.out)
		in.listed = true
	case len(changes) == 0 && f.now-in.calledAt < in.callWait:
		return
	case len(changes) == 0:
		asOf += in.callWait
		in.cluster.ChangeSearchers(f.now, nil, f.store.revision, &in.out)
	default:
		in.cluster.ChangeSearchers(f.now, changes, f.store.revision, &in.out)
	}
	in.calling, in.revision = false, f.store.revision
	in.cluster.SetPlatformReachable(f.now, true, &in.out)
	for source := range grlease.SourceCount {
		in.cluster.ReadSucceeded(source, asOf)
	}
	f.sendOut(i)
}

func (f *simFleet) run(span grclock.Millis) {
	for end := f.now + span; f.now < end; f.now += simStep {
		for i, in := range f.instances {
			if !in.alive {
				if f.now-in.disturbedAt >= simRestart {
					f.start(i)
				}
				continue
			}
			if f.now < in.frozenUntil {
				continue
			}
			if f.onStep != nil {
				f.onStep(i)
			}
			f.receive(i)
			if f.now >= in.nextTick {
				in.nextTick = f.now + 100
				in.cluster.Turn(f.now)
				in.cluster.Tick(f.now, &in.out)
				f.sendOut(i)
			}
			f.read(i)
		}
	}
}

// watchers returns the instances that watch the platform, by index.
func (f *simFleet) watchers() []int {
	var list []int
	for i, in := range f.instances {
		if in.alive && in.cluster.IsWatcher() {
			list = append(list, i)
		}
	}
	return list
}

// removeSome removes some entries and notes when.
func (f *simFleet) removeSome(count int) {
	ids := slices.Sorted(maps.Keys(f.store.entries))
	first := f.random.IntN(len(ids) - count)
	for _, id := range ids[first : first+count] {
		f.store.remove(id)
		f.removedAt[id] = f.now
	}
}

// live returns the searchers that an instance uses.
func (f *simFleet) live(i int) map[grident.SearcherID]bool {
	list := make(map[grident.SearcherID]bool)
	for _, s := range f.instances[i].cluster.Searchers() {
		list[s.ID] = s.State == Live
	}
	return list
}

// checkRemoved reports a removed searcher that an undisturbed instance still uses.
func (f *simFleet) checkRemoved(t *testing.T, seed uint64, scenario string) {
	t.Helper()
	for i, in := range f.instances {
		if !in.alive || f.now < in.frozenUntil || f.now-in.disturbedAt < simTouchWindow {
			continue
		}
		live := f.live(i)
		for id, at := range f.removedAt {
			if live[id] && f.now-at > maxRemovalTime {
				t.Fatalf("%s, seed %d: instance %d uses searcher %s %d ms after its removal", scenario, seed, i, id, f.now-at)
			}
		}
	}
}

// runChecked runs for a time and checks every 100 ms.
func (f *simFleet) runChecked(t *testing.T, seed uint64, scenario string, span grclock.Millis) {
	t.Helper()
	for end := f.now + span; f.now < end; {
		f.run(100)
		f.checkRemoved(t, seed, scenario)
	}
}

// TestRemovedWhileWatchersAway guards against searchers that stay in use because their
// entries were removed while the instances that watch the list were away.
func TestRemovedWhileWatchersAway(t *testing.T) {
	for scenario, disturb := range map[string]func(f *simFleet){
		"watchers restart": func(f *simFleet) {
			for _, i := range f.watchers() {
				f.kill(i)
			}
			f.kill(f.random.IntN(simInstances))
		},
		"watchers freeze": func(f *simFleet) {
			for _, i := range f.watchers() {
				f.freeze(i, 3500)
			}
		},
		"watchers are turned away": func(f *simFleet) {
			for _, i := range f.watchers() {
				f.instances[i].turnedAway = true
			}
		},
		"all but one restart": func(f *simFleet) {
			spared := f.random.IntN(simInstances)
			for i := range f.instances {
				if i != spared {
					f.kill(i)
				}
			}
		},
	} {
		for seed := range uint64(150) {
			f := newSimFleet(seed)
			f.run(8 * grclock.Second)
			f.store.historyFrom = f.store.revision + 1 // No instance can read on from its first list.
			if seed%3 == 0 {
				f.store.historyFrom = 0
			}
			disturb(f)
			f.run(grclock.Millis(f.random.IntN(60)) * simStep)
			f.removeSome(4)
			f.runChecked(t, seed, scenario, 15*grclock.Second)
		}
	}
}

// TestExpiredEntriesKept checks that searchers whose entries expired while the platform was
// away stay in use until they are registered again, also by instances that restart.
func TestExpiredEntriesKept(t *testing.T) {
	for seed := range uint64(150) {
		f := newSimFleet(seed)
		f.run(8 * grclock.Second)
		f.store.historyFrom = f.store.revision + 1
		f.store.down = true
		f.run(4*grclock.Second + grclock.Millis(f.random.IntN(300))*simStep)
		expired := slices.Sorted(maps.Keys(f.store.entries))[:simSearchers/2]
		for _, id := range expired {
			f.store.remove(id)
		}
		restarted := f.random.IntN(simInstances)
		f.kill(restarted)
		f.run(grclock.Millis(f.random.IntN(100)) * simStep)
		f.store.down = false
		for end := f.now + simReturn; f.now < end; {
			f.run(100)
			for i, in := range f.instances {
				live := f.live(i)
				for _, id := range expired {
					if in.alive && f.now-in.disturbedAt > simTouchWindow && !live[id] {
						t.Fatalf("seed %d: instance %d dropped %s although the platform was away", seed, i, id)
					}
				}
			}
		}
		for _, id := range expired[1:] {
			f.store.put(id)
		}
		f.removedAt[expired[0]] = f.now
		f.run(grregistry.GracePeriod + grclock.Second)
		for i := range f.instances {
			live := f.live(i)
			if live[expired[0]] || !live[expired[1]] {
				t.Fatalf("seed %d: instance %d after the grace period: uses the searcher that stayed away %v, the one that is back %v",
					seed, i, live[expired[0]], live[expired[1]])
			}
		}
	}
}
