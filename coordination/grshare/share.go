// Package grshare divides the connection limit of each searcher among the
// instances that use it, so that their sum never exceeds the limit, whatever
// each of them knows of the others.
//
// Each instance publishes a Holding: the divisor by which it divides limits and
// the instances that it counts. An instance takes limit ÷ divisor connections.
// It may use a divisor n only while it counts at most n instances, and every
// one of them counts it in turn with a divisor of at least n or holds nothing.
// So for any two that hold connections, each counts the other, and no divisor
// is below the number of holders. An instance leaves the count only by proof
// that its connections are closed; silence is no proof.
//
// Instances that start at the same time are put in an order by the platform's
// list of members: one that stands in no list holds nothing.
//
//	divisor := view.Allowed()
package grshare

import (
	"slices"

	"geraniumrouter/state/grid"
)

// Member is one run of an instance.
type Member struct {
	ID  grid.InstanceID
	Run grid.Incarnation
}

// Holding is what an instance publishes of itself.
type Holding struct {
	Divisor int // 0 while it holds no connections
	Counted []Member
}

// Counts reports whether the holding counts the member.
func (h *Holding) Counts(m Member) bool {
	return slices.Contains(h.Counted, m)
}

// View is what an instance knows of those it shares searchers with.
type View struct {
	Self     Member
	Others   []Member // counted beside itself
	Holdings map[Member]Holding
	Ended    func(Member) bool // whether a run is proved to have ended
	// Registered tells whether Self's id stands in the platform's list of
	// members, and Read whether this run read the whole list.
	Registered, Read bool
}

// Allowed returns the smallest divisor that the instance may use, or 0 while it
// may hold nothing.
func (v *View) Allowed() int {
	if !v.Registered {
		return 0
	}
	n := len(v.Others) + 1
	established := v.Read
	for _, o := range v.Others {
		h, known := v.Holdings[o]
		if !known || !h.Counts(v.Self) || !v.countsAll(h.Counted) {
			return 0
		}
		if h.Divisor > 0 && h.Divisor < n {
			return 0
		}
		established = established || h.Divisor > 0
	}
	if !established {
		return 0
	}
	return n
}

// countsAll reports whether the instance counts, or knows to have ended, all
// that another counts.
func (v *View) countsAll(list []Member) bool {
	for _, m := range list {
		if m != v.Self && !slices.Contains(v.Others, m) && !v.Ended(m) {
			return false
		}
	}
	return true
}

// Next returns the divisor to use: never below what is allowed or counted. A
// holder that counts more instances than before must divide by more at once; it
// divides by less only when that is allowed.
func Next(current, allowed, counted int) int {
	switch {
	case current > 0 && current < counted:
		return counted
	case allowed > 0 && (current == 0 || allowed < current):
		return allowed
	}
	return current
}
