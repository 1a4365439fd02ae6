package grstandroute

import "geraniumrouter/state/grclock"

// Timing of restarts.
const (
	restartTime  = grclock.Second             // from the end of an instance to its next start
	maxViewDelay = 1200 * grclock.Millisecond // until another instance learns of an end or a start
)

// restart kills an instance and starts it again, with nothing that it knew. Each other
// instance learns of the end and of the start after a delay of its own.
func (sim *simulation) restart(index int) {
	old := sim.instances[index]
	if old.killed {
		return
	}
	old.kill()
	sim.announceMembers()
	sim.after(restartTime, func() {
		started := sim.newInstance(index)
		sim.instances[index] = started
		started.start(sim.running())
		sim.announceMembers()
	})
}

// running returns the instances that are not killed.
func (sim *simulation) running() []*instance {
	var list []*instance
	for _, in := range sim.instances {
		if !in.killed {
			list = append(list, in)
		}
	}
	return list
}

// announceMembers informs each instance of those that are running by then.
func (sim *simulation) announceMembers() {
	for _, in := range sim.running() {
		delay := grclock.Millis(sim.random.IntN(int(maxViewDelay)))
		sim.after(delay, func() { in.deliver(func() { in.setPeers(sim.reachable(in)) }) })
	}
}
