package grstandfleet

import (
	"geraniumrouter/coordination/grcluster"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grident"
	"geraniumrouter/state/grpreset"
)

// Platform simulates the platform.
type Platform struct {
	Down      bool                    // members cannot reach the platform
	Stale     bool                    // reads return the switch before the latest one
	switches  []grpreset.ActivePreset // all accepted switches
	members   map[grident.InstanceID]grcluster.Member
	CallCount int // reads by members and switches so far
	searchers []grcluster.SearcherStatus
}

// pollInterval is the interval at which a member reads the platform.
const pollInterval = 500 * grclock.Millisecond

// pollPlatform reads the platform at regular intervals, unless other members are its
// watchers.
func (m *member) pollPlatform(incarnation grident.Incarnation) {
	if !m.alive || m.incarnation != incarnation {
		return
	}
	m.deliver(func() {
		m.readPlatform()
		m.applyEffects()
	})
	m.fleet.after(pollInterval, func() { m.pollPlatform(incarnation) })
}

func (m *member) readPlatform() {
	f := m.fleet
	p := &f.Platform
	unregistered := p.members[m.id].Incarnation != m.incarnation
	if p.Down || f.Config.Bug == NeverReadPlatform || !unregistered && !m.cluster.IsWatcher() {
		return
	}
	p.CallCount++
	if unregistered {
		p.members[m.id] = m.cluster.Self
		var list []grcluster.Member
		for i := range f.members {
			if other, ok := p.members[f.members[i].id]; ok {
				list = append(list, other)
			}
		}
		m.cluster.SetRegisteredMembers(f.Now, list, &m.out)
	}
	last := len(p.switches) - 1
	if p.Stale {
		last--
	}
	if last >= 0 {
		active := p.switches[last]
		m.cluster.SetPreset(f.Now, &active, &m.out)
	}
	if !p.Stale {
		m.cluster.PlatformRead(f.Now, &m.out)
	}
	if m.cluster.IsWatcher() {
		m.cluster.UpdateSearchers(f.Now, p.searchers, &m.out)
	}
}
