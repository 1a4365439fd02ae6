// Package grconnlimit divides the connection limit of each searcher among the instances
// that use it, so that the sum of their connections never exceeds the limit, even if
// the instances hold different views of the membership.
//
// Each instance publishes a PublishedDivisor: the divisor that it applies to connection
// limits and the instances that it counts. It opens at most limit ÷ divisor connections. It
// may use a divisor n only while it counts at most n instances and each of them either
// counts it in turn with a divisor of at least n or holds no connections. So any two
// instances that hold connections count each other, and no divisor is below the number
// of instances that hold connections. An instance is removed from the count only on
// proof that its connections are closed; a missing response is not proof.
//
// The platform's member list orders instances that start at the same time: an instance
// that is not on the list may hold no connections.
//
//	divisor := view.AllowedDivisor()
package grconnlimit

import (
	"slices"

	"geraniumrouter/state/grident"
)

// Member identifies one run (process lifetime) of an instance.
type Member struct {
	ID          grident.InstanceID
	Incarnation grident.Incarnation
}

// PublishedDivisor is the connection divisor that an instance publishes, with the
// members it was computed from.
type PublishedDivisor struct {
	Divisor        int // 0 while the instance holds no connections
	CountedMembers []Member
}

// CountsMember reports whether m is among the members that the publisher counts.
func (p *PublishedDivisor) CountsMember(m Member) bool {
	return slices.Contains(p.CountedMembers, m)
}

// View is the local state from which an instance computes its divisor.
type View struct {
	Self      Member
	Others    []Member // the members that this instance counts, without Self
	Published map[Member]PublishedDivisor
	HasEnded  func(Member) bool // reports whether a run is proved to have ended
	// OnMemberList is true if Self's ID is on the platform's member list, and ListRead if this
	// run has read the complete list.
	OnMemberList, ListRead bool
}

// AllowedDivisor returns the smallest divisor that the instance may use, or 0 if it may
// hold no connections.
func (v *View) AllowedDivisor() int {
	if !v.OnMemberList {
		return 0
	}
	n := len(v.Others) + 1
	established := v.ListRead
	for _, o := range v.Others {
		p, known := v.Published[o]
		if !known || !p.CountsMember(v.Self) || !v.countsAll(p.CountedMembers) {
			return 0
		}
		if p.Divisor > 0 && p.Divisor < n {
			return 0
		}
		established = established || p.Divisor > 0
	}
	if !established {
		return 0
	}
	return n
}

// countsAll reports whether each listed member is counted by this instance or proved
// to have ended.
func (v *View) countsAll(list []Member) bool {
	for _, m := range list {
		if m != v.Self && !slices.Contains(v.Others, m) && !v.HasEnded(m) {
			return false
		}
	}
	return true
}

// NextDivisor returns the divisor to use; it is never below the allowed divisor or the
// number of members counted. A higher count raises the divisor of an instance that holds
// connections immediately; the divisor is lowered only to an allowed value.
func NextDivisor(current, allowed, counted int) int {
	switch {
	case current > 0 && current < counted:
		return counted
	case allowed > 0 && (current == 0 || allowed < current):
		return allowed
	}
	return current
}
