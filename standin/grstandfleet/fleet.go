// Package grstandfleet passes the messages of control state machines from
// queue to queue in virtual time, drops some, and counts them. It models no
// machines and no networks; a fake of the platform holds the switch in force.
//
//	fleet := grstandfleet.New(grstandfleet.Config{Members: 5, Drop: 0.01, Seed: 1})
//	fleet.Run(10 * grclock.Second)
//	fmt.Println(fleet.Report())
package grstandfleet

import (
	"fmt"

	"geraniumrouter/coordination/grcontrol"
	"geraniumrouter/coordination/grshare"
	"geraniumrouter/protocol/grwire"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grheap"
	"geraniumrouter/state/grid"
	"geraniumrouter/state/grpreset"
)

// Config decides on a run.
type Config struct {
	Members   int
	Domains   int
	Searchers int
	ConnLimit int // of one searcher, for the check of shares
	Drop      float64
	Seed      uint64
	Measure   bool // count the bytes of messages
	NoPush    bool // leave out what is pushed at once, for comparison
	Plant     Plant
}

// Plant is a fault put in on purpose, to show that a check finds it.
type Plant uint8

// The planted faults.
const (
	NoPlant       Plant = iota
	TakeAtOnce          // a member takes its share without asking
	AcceptOld           // a member takes a lower generation
	LoseSwitch          // accepted switches are told to nobody
	SilenceIsGone       // a silent member counts as ended
	NeverSettle         // members do not read the platform
)

// groupSize is the number of members that share searchers, about.
const groupSize = 16

// startEvery is the pause between the starts of two members, in milliseconds.
const startEvery = 10

// stepOneWay bounds the time that a message takes.
const stepOneWay = 3

// Report is what a run counted.
type Report struct {
	Messages   int // delivered or dropped
	Answers    int
	Bytes      int
	Violations []string
}

type task struct {
	at  grclock.Millis
	seq uint64
	do  *func()
}

// Fleet is a run. It is made by New.
type Fleet struct {
	Config    Config
	Now       grclock.Millis
	Platform  Platform
	members   []*member
	byAddress map[grid.Address]*member
	random    grid.Random
	tasks     grheap.Heap[task]
	seq       uint64
	report    Report
	cuts      map[[2]int]bool
	totals    []int // connections by group, for checkShares
	sentBytes int
}

// Platform is the fake of the platform.
type Platform struct {
	Down    bool
	Stale   bool // reads give the switch before the last
	active  []grpreset.Active
	members map[grid.InstanceID]grcontrol.Member
	Calls   int
	list    []grcontrol.ListedSearcher
}

// member is one instance.
type member struct {
	fleet      *Fleet
	index      int
	id         grid.InstanceID
	address    grid.Address
	group      int // of those that share searchers
	control    *grcontrol.Control
	out        grcontrol.Out
	alive      bool
	paused     bool
	backlog    []func()
	run        grid.Incarnation
	conns      int // divisor whose share of connections is open; 0 for none
	generation grid.Generation
	inForce    bool
	floor      grid.Generation // in force before a restart, where a live peer knew
}

// New returns a fleet whose members have just started.
func New(c Config) *Fleet {
	if c.Domains == 0 {
		c.Domains = 4
	}
	if c.ConnLimit == 0 {
		c.ConnLimit = 25
	}
	f := &Fleet{Config: c, random: grid.Random{State: c.Seed}, cuts: make(map[[2]int]bool), byAddress: make(map[grid.Address]*member)}
	f.totals = make([]int, f.groups())
	f.tasks.Less = func(a, b task) bool { return a.at < b.at || a.at == b.at && a.seq < b.seq }
	f.Platform.members = make(map[grid.InstanceID]grcontrol.Member)
	for i := range c.Searchers {
		f.Platform.list = append(f.Platform.list, grcontrol.ListedSearcher{Searcher: grcontrol.Searcher{
			ID: grid.SearcherID(fmt.Sprintf("s%05d", i)), Run: 1, Service: grid.Service(fmt.Sprintf("v%05d", i/2)),
			Address: grid.Address(fmt.Sprintf("10.0.0.1:%d", i)), Domain: "d1", Slots: 2, ConnLimit: 25,
		}})
	}
	for i := range c.Members {
		m := &member{fleet: f, index: i, id: instanceID(i), address: address(i)}
		m.group = int(grid.Hash(m.id) % uint64(f.groups()))
		f.members = append(f.members, m)
		f.byAddress[m.address] = m
		f.after(grclock.Millis(i*startEvery), func() { m.start() })
	}
	return f
}

func (f *Fleet) after(span grclock.Millis, do func()) {
	f.seq++
	f.tasks.Push(task{f.Now + max(span, 0), f.seq, &do})
}

// Run lets the time pass.
func (f *Fleet) Run(span grclock.Millis) {
	end := f.Now + span
	for f.tasks.Len() > 0 && f.tasks.Top().at <= end {
		t := f.tasks.Pop()
		f.Now = t.at
		(*t.do)()
		f.checkShares()
	}
	f.Now = end
}

// Report returns what was counted so far.
func (f *Fleet) Report() Report {
	f.report.Bytes = f.sentBytes
	return f.report
}

func (f *Fleet) violate(format string, args ...any) {
	if len(f.report.Violations) < 5 {
		f.report.Violations = append(f.report.Violations, fmt.Sprintf("%d ms: ", f.Now)+fmt.Sprintf(format, args...))
	}
}

// groups is the number of sets of members that share searchers.
func (f *Fleet) groups() int { return (f.Config.Members + groupSize - 1) / groupSize }

func instanceID(i int) grid.InstanceID { return grid.InstanceID(fmt.Sprintf("entry-%d", i+1)) }

func address(i int) grid.Address { return grid.Address(fmt.Sprintf("10.1.%d.%d:70", i/250, i%250)) }

// start begins a new run of the member.
func (m *member) start() {
	f := m.fleet
	m.alive, m.paused, m.backlog = true, false, nil
	m.run = grid.Incarnation(f.Now + 1)
	m.inForce, m.generation, m.conns = false, 0, 0
	m.control = &grcontrol.Control{
		Self: grcontrol.Member{
			Member: grshare.Member{ID: m.id, Run: m.run}, Peers: m.address, Callers: m.address,
			Domain: grid.FailureDomain(fmt.Sprintf("d%d", m.index%f.Config.Domains)),
		},
		Random: grid.Random{State: f.random.Uint64()},
		Push:   !f.Config.NoPush,
		Groups: f.groups(),
	}
	for s := range min(3, f.Config.Members) {
		m.control.Seeds = append(m.control.Seeds, address((m.index+1+s)%f.Config.Members))
	}
	m.control.Init(f.Now, &m.out)
	m.carryOut()
	m.tick(m.run)
	m.watch(m.run)
}

// tick calls the control duty in time.
func (m *member) tick(run grid.Incarnation) {
	if !m.alive || m.run != run {
		return
	}
	m.deliver(func() {
		m.control.Tick(m.fleet.Now, &m.out)
		m.carryOut()
	})
	wait := m.control.NextWake() - m.fleet.Now
	m.fleet.after(max(wait, 1), func() { m.tick(run) })
}

// watchInterval is the pause between two reads of the platform.
const watchInterval = 500 * grclock.Millisecond

// watch reads the platform from time to time, if it is this member's turn.
func (m *member) watch(run grid.Incarnation) {
	if !m.alive || m.run != run {
		return
	}
	m.deliver(func() {
		m.readPlatform()
		m.carryOut()
	})
	m.fleet.after(watchInterval, func() { m.watch(run) })
}

func (m *member) readPlatform() {
	f := m.fleet
	p := &f.Platform
	first := p.members[m.id].Run != m.run
	if p.Down || f.Config.Plant == NeverSettle || !first && !m.control.Watches() {
		return
	}
	p.Calls++
	if first {
		p.members[m.id] = m.control.Self
		var list []grcontrol.Member
		for i := range f.members {
			if other, ok := p.members[f.members[i].id]; ok {
				list = append(list, other)
			}
		}
		m.control.Registered(f.Now, list, &m.out)
	}
	last := len(p.active) - 1
	if p.Stale {
		last--
	}
	if last >= 0 {
		active := p.active[last]
		m.control.Adopt(f.Now, &active, &m.out)
	}
	if !p.Stale {
		m.control.PlatformRead(&m.out)
	}
	if m.control.Watches() {
		m.control.TakeSearchers(f.Now, p.list, &m.out)
	}
}

func (m *member) deliver(do func()) {
	switch {
	case !m.alive:
	case m.paused:
		m.backlog = append(m.backlog, do)
	default:
		do()
	}
}

// carryOut does what the member decided.
func (m *member) carryOut() {
	f := m.fleet
	if m.out.Active != nil {
		m.takePreset(m.out.Active)
	}
	m.useShare()
	messages := append([]grcontrol.Outgoing{}, m.out.Messages...)
	m.out.Reset()
	for _, o := range messages {
		f.send(m, o)
	}
}

func (m *member) takePreset(a *grpreset.Active) {
	f := m.fleet
	generation := a.Generation
	if f.Config.Plant == AcceptOld && f.random.Below(3) == 0 {
		generation--
	}
	if m.inForce && generation < m.generation {
		f.violate("preset: %s went from generation %d to %d", m.id, m.generation, generation)
	}
	if generation < m.floor {
		f.violate("preset: %s had generation %d before its restart and now %d", m.id, m.floor, generation)
	}
	m.inForce, m.generation = true, generation
}

// send passes a message on and its answer back.
func (f *Fleet) send(from *member, o grcontrol.Outgoing) {
	f.report.Messages++
	f.measure(&o.Message)
	to := f.at(o.To)
	run, wait := from.run, f.oneWay()
	if f.lost(from, to) {
		return
	}
	if f.Config.Plant == SilenceIsGone && to.paused {
		f.after(wait, func() { from.refused(run, o) })
		return
	}
	f.after(wait, func() {
		if !to.alive {
			f.after(f.oneWay(), func() { from.refused(run, o) })
			return
		}
		to.deliver(func() {
			answer, ok := to.control.Receive(f.Now, o.Message, &to.out)
			to.carryOut()
			if !f.lost(to, from) {
				f.after(f.oneWay(), func() { from.answered(run, to, answer, ok) })
			}
		})
	})
}

func (m *member) refused(run grid.Incarnation, o grcontrol.Outgoing) {
	if m.run != run {
		return
	}
	m.deliver(func() {
		m.control.Refused(m.fleet.Now, o.To, o.Run, &m.out)
		m.carryOut()
	})
}

func (m *member) answered(run grid.Incarnation, from *member, answer grcontrol.Message, ok bool) {
	f := m.fleet
	if m.run != run || !m.alive {
		return
	}
	m.deliver(func() {
		m.control.Answered(from.id)
		if !ok {
			return
		}
		f.report.Answers++
		f.measure(&answer)
		next, more := m.control.Receive(f.Now, answer, &m.out)
		m.carryOut()
		if more {
			f.send(m, grcontrol.Outgoing{To: from.address, Message: next})
		}
	})
}

func (f *Fleet) measure(message *grcontrol.Message) {
	if !f.Config.Measure {
		return
	}
	wire := grwire.PeerMessageTo(message)
	data, err := grwire.EncodePeer(&wire)
	if err != nil {
		f.violate("encode: %v", err)
	}
	f.sentBytes += len(data)
}

func (f *Fleet) oneWay() grclock.Millis { return 1 + grclock.Millis(f.random.Below(stepOneWay)) }

func (f *Fleet) lost(from, to *member) bool {
	return f.cuts[[2]int{from.index, to.index}] || f.random.Float() < f.Config.Drop
}

func (f *Fleet) at(a grid.Address) *member { return f.byAddress[a] }
