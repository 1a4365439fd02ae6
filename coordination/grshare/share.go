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
//	divisor := grshare.Allowed(self, counted, holdings, established)
package grshare

import "geraniumrouter/state/grid"

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
	for _, c := range h.Counted {
		if c == m {
			return true
		}
	}
	return false
}

// Allowed returns the smallest divisor that self may use, or 0 while it may
// hold nothing. others are the instances that self counts beside itself;
// holdings are what they published; registered tells whether self stands in
// the platform's list of members, which orders those that start at once.
func Allowed(self Member, others []Member, holdings map[Member]Holding, registered bool) int {
	n := len(others) + 1
	established := registered
	for _, o := range others {
		h, known := holdings[o]
		if !known || !h.Counts(self) {
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
