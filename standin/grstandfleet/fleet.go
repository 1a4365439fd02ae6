// Package grstandfleet simulates a cluster of entry instances in virtual time,
// to test how cluster state (preset, membership, connection divisors) is
// replicated between them. It delivers the messages of the instances' state
// machines with random delays, drops some of them and counts messages and bytes.
// Processing time and bandwidth are not modelled; a simulated platform stores
// the switches of the preset. A run depends on its Config and on the calls of
// the Fleet's methods only.
//
//	fleet := grstandfleet.New(grstandfleet.Config{Members: 5, DropProbability: 0.01, Seed: 1})
//	fleet.Run(10 * grclock.Second)
//	fmt.Println(fleet.Report())
package grstandfleet

import (
	"fmt"

	"geraniumrouter/coordination/grcluster"
	"geraniumrouter/coordination/grconnlimit"
	"geraniumrouter/protocol/grwire"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grheap"
	"geraniumrouter/state/grident"
	"geraniumrouter/state/grpreset"
)

// Config holds the parameters of a simulation.
type Config struct {
	Members         int
	Domains         int     // number of failure domains; 0 stands for 4
	Searchers       int     // number of searchers that the platform lists
	ConnLimit       int     // connection limit of each searcher, to check the divisors; 0 stands for 25
	DropProbability float64 // probability that a message or an answer is lost
	Seed            uint64
	CountBytes      bool // count the bytes of messages and answers
	NoPush          bool // replicate by periodic gossip only, for comparison
	OneGroup        bool // as on the users' platform: one group, and members divide connections without coordination
	Bug             Bug
}

// Bug is a bug that is injected on purpose, to show that a check detects it.
type Bug uint8

// The bugs that can be injected.
const (
	NoBug                Bug = iota
	UncoordinatedDivisor     // a member opens connections without waiting for the others to reduce theirs
	ApplyOldGeneration       // a member sometimes applies a lower generation
	DropSwitch               // the member that accepts a switch neither applies it nor sends it to others
	UnresponsiveIsEnded      // an unresponsive member is treated as one that has ended
	NeverReadPlatform        // members do not read the platform
)

// groupSize is the approximate number of members that share searchers.
const groupSize = 16

// startInterval is the time between the starts of two members, in milliseconds.
const startInterval = 10

// maxOneWay is the maximum one-way delay of a message, in milliseconds.
const maxOneWay = 3

// Report holds the counts of a simulation.
type Report struct {
	Messages   int      // sent, whether delivered or dropped
	Answers    int      // received
	Bytes      int      // of messages and received answers, counted while Config.CountBytes is set
	Violations []string // the first few violated invariants
}

type task struct {
	at  grclock.Millis
	seq uint64
	run *func()
}

// Fleet is a simulated cluster. Use New to create one.
type Fleet struct {
	Config      Config
	Now         grclock.Millis // virtual time
	Platform    Platform
	members     []*member
	byAddress   map[grident.Address]*member
	random      grident.Random
	tasks       grheap.Heap[task]
	seq         uint64
	report      Report
	partitioned map[[2]int]bool // pairs of members between which messages are lost
	openConns   []int           // open connections to each searcher by group, for checkConnLimits
	sentBytes   int
}

// member is one entry instance.
type member struct {
	fleet         *Fleet
	index         int
	id            grident.InstanceID
	address       grident.Address
	group         int // members of a group share searchers
	cluster       *grcluster.Cluster
	out           grcluster.Output
	alive         bool
	off           bool // without power: nothing answers at its address
	paused        bool
	backlog       []func() // events that arrived during a pause
	incarnation   grident.Incarnation
	divisor       int // connection limit divided by this is the number of open connections; 0 for none
	generation    grident.Generation
	inForce       bool               // a preset is in force
	sent          int                // messages sent so far
	minGeneration grident.Generation // minimum after a restart: a live peer had this generation too
}

// New returns a fleet whose members start one after the other, 10 ms apart.
func New(c Config) *Fleet {
	if c.Domains == 0 {
		c.Domains = 4
	}
	if c.ConnLimit == 0 {
		c.ConnLimit = 25
	}
	f := &Fleet{Config: c, random: grident.Random{State: c.Seed}, partitioned: make(map[[2]int]bool), byAddress: make(map[grident.Address]*member)}
	f.openConns = make([]int, f.groupCount())
	f.tasks.Less = func(a, b task) bool { return a.at < b.at || a.at == b.at && a.seq < b.seq }
	f.Platform.members = make(map[grident.InstanceID]grcluster.Member)
	for i := range c.Searchers {
		f.Platform.searchers = append(f.Platform.searchers, grcluster.SearcherStatus{Searcher: grcluster.Searcher{
			ID: grident.SearcherID(fmt.Sprintf("s%05d", i)), Incarnation: 1, Service: grident.Service(fmt.Sprintf("v%05d", i/2)),
			Address: grident.Address(fmt.Sprintf("10.0.0.1:%d", i)), Domain: "d1", Slots: 2, ConnLimit: 25,
		}})
	}
	for i := range c.Members {
		m := &member{fleet: f, index: i, id: instanceID(i), address: address(i)}
		m.group = int(grident.Hash(m.id) % uint64(f.groupCount()))
		f.members = append(f.members, m)
		f.byAddress[m.address] = m
		f.after(grclock.Millis(i*startInterval), func() { m.start() })
	}
	return f
}

func (f *Fleet) after(span grclock.Millis, do func()) {
	f.seq++
	f.tasks.Push(task{f.Now + max(span, 0), f.seq, &do})
}

// Run simulates the given span of virtual time. It checks the connection limits
// after each event.
func (f *Fleet) Run(span grclock.Millis) {
	end := f.Now + span
	for f.tasks.Len() > 0 && f.tasks.Top().at <= end {
		t := f.tasks.Pop()
		f.Now = t.at
		(*t.run)()
		if !f.Config.OneGroup {
			f.checkConnLimits()
		}
	}
	f.Now = end
}

// Report returns the counts and violations so far.
func (f *Fleet) Report() Report {
	f.report.Bytes = f.sentBytes
	return f.report
}

func (f *Fleet) reportViolation(format string, args ...any) {
	if len(f.report.Violations) < 5 {
		f.report.Violations = append(f.report.Violations, fmt.Sprintf("%d ms: ", f.Now)+fmt.Sprintf(format, args...))
	}
}

// groupCount returns the number of groups of members that share searchers.
func (f *Fleet) groupCount() int {
	if f.Config.OneGroup {
		return 1
	}
	return (f.Config.Members + groupSize - 1) / groupSize
}

func instanceID(i int) grident.InstanceID { return grident.InstanceID(fmt.Sprintf("entry-%d", i+1)) }

func address(i int) grident.Address {
	return grident.Address(fmt.Sprintf("10.1.%d.%d:70", i/250, i%250))
}

// start starts a new incarnation of the member.
func (m *member) start() {
	f := m.fleet
	m.alive, m.off, m.paused, m.backlog = true, false, false, nil
	m.incarnation = grident.Incarnation(f.Now + 1)
	m.inForce, m.generation, m.divisor = false, 0, 0
	m.cluster = &grcluster.Cluster{
		Self: grcluster.Member{
			Member: grconnlimit.Member{ID: m.id, Incarnation: m.incarnation}, PeerAddress: m.address, CallerAddress: m.address,
			Domain: grident.FailureDomain(fmt.Sprintf("d%d", m.index%f.Config.Domains)),
		},
		Random:          grident.Random{State: f.random.Uint64()},
		PushImmediately: !f.Config.NoPush,
		GroupCount:      f.groupCount(),

		UncoordinatedDivisor: f.Config.OneGroup,
	}
	if f.Config.OneGroup {
		m.cluster.WatcherCount = 2
	}
	for s := range min(3, f.Config.Members) {
		m.cluster.Seeds = append(m.cluster.Seeds, address((m.index+1+s)%f.Config.Members))
	}
	m.cluster.Init(f.Now, &m.out)
	m.applyEffects()
	m.tick(m.incarnation)
	m.pollPlatform(m.incarnation)
}

// tick calls the state machine's Tick and schedules the next call.
func (m *member) tick(incarnation grident.Incarnation) {
	if !m.alive || m.incarnation != incarnation {
		return
	}
	m.deliver(func() {
		m.cluster.Tick(m.fleet.Now, &m.out)
		m.applyEffects()
	})
	wait := m.cluster.NextWake() - m.fleet.Now
	m.fleet.after(max(wait, 1), func() { m.tick(incarnation) })
}

// deliver runs an event on the member, or queues it during a pause. Events of a
// killed member are dropped.
func (m *member) deliver(do func()) {
	switch {
	case !m.alive:
	case m.paused:
		m.backlog = append(m.backlog, do)
	default:
		do()
	}
}

// applyEffects applies the changes and sends the messages that the state machine
// returned.
func (m *member) applyEffects() {
	f := m.fleet
	if m.out.ActivePreset != nil {
		m.setPreset(m.out.ActivePreset)
	}
	m.applyDivisor()
	messages := append([]grcluster.Outgoing{}, m.out.Messages...)
	m.out.Reset()
	for _, o := range messages {
		f.send(m, o)
	}
}

func (m *member) setPreset(a *grpreset.ActivePreset) {
	f := m.fleet
	generation := a.Generation
	if f.Config.Bug == ApplyOldGeneration && f.random.IntN(3) == 0 {
		generation--
	}
	if m.inForce && generation < m.generation {
		f.reportViolation("preset: %s went back from generation %d to %d", m.id, m.generation, generation)
	}
	if generation < m.minGeneration {
		f.reportViolation("preset: %s had generation %d before its restart and has %d after it", m.id, m.minGeneration, generation)
	}
	m.inForce, m.generation = true, generation
}

// send delivers a message to its receiver and the answer to the sender, unless
// one of them is lost. A message to a killed member is refused.
func (f *Fleet) send(from *member, o grcluster.Outgoing) {
	f.report.Messages++
	from.sent++
	f.countBytes(&o.Message)
	to := f.memberAt(o.To)
	incarnation, sentAt, wait := from.incarnation, f.Now, f.randomOneWay()
	if f.lost(from, to) {
		return
	}
	if f.Config.Bug == UnresponsiveIsEnded && to.paused {
		f.after(wait, func() { from.connectionRefused(incarnation, o) })
		return
	}
	f.after(wait, func() {
		if to.off {
			return
		}
		if !to.alive {
			f.after(f.randomOneWay(), func() { from.connectionRefused(incarnation, o) })
			return
		}
		to.deliver(func() {
			answer, ok := to.cluster.Receive(f.Now, o.Message, &to.out)
			to.applyEffects()
			if !f.lost(to, from) {
				f.after(f.randomOneWay(), func() { from.handleAnswer(incarnation, sentAt, to, answer, ok) })
			}
		})
	})
}

func (m *member) connectionRefused(incarnation grident.Incarnation, o grcluster.Outgoing) {
	if m.incarnation != incarnation {
		return
	}
	m.deliver(func() {
		m.cluster.ConnectionRefused(m.fleet.Now, o.To, o.Incarnation, &m.out)
		m.applyEffects()
	})
}

func (m *member) handleAnswer(incarnation grident.Incarnation, sentAt grclock.Millis, from *member, answer grcluster.Message, ok bool) {
	f := m.fleet
	if m.incarnation != incarnation || !m.alive {
		return
	}
	m.deliver(func() {
		m.cluster.Acknowledged(f.Now, sentAt, from.id)
		if !ok {
			return
		}
		f.report.Answers++
		f.countBytes(&answer)
		next, more := m.cluster.Receive(f.Now, answer, &m.out)
		m.applyEffects()
		if more {
			f.send(m, grcluster.Outgoing{To: from.address, Message: next})
		}
	})
}

func (f *Fleet) countBytes(message *grcluster.Message) {
	if !f.Config.CountBytes {
		return
	}
	encoded := grwire.PeerMessageTo(message)
	data, err := grwire.EncodePeer(&encoded)
	if err != nil {
		f.reportViolation("encode: %v", err)
	}
	f.sentBytes += len(data)
}

func (f *Fleet) randomOneWay() grclock.Millis { return 1 + grclock.Millis(f.random.IntN(maxOneWay)) }

func (f *Fleet) lost(from, to *member) bool {
	return f.partitioned[[2]int{from.index, to.index}] || f.random.Float64() < f.Config.DropProbability
}

func (f *Fleet) memberAt(a grident.Address) *member { return f.byAddress[a] }
