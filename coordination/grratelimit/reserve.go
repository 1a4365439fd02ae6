package grratelimit

import (
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grroutes"
)

// ReserveHolders is the number of instances that hold units of an organisation's reserve.
const ReserveHolders = 4

// reserveShare is the part of the slack that the reserve may use.
const reserveShare = 0.4

// poolTime is the time for which an instance cedes its own part at most, and for which the units of
// own parts are kept.
const poolTime = grclock.Second

// Reserve is what an instance hands out of one organisation's quota while no allocator grants
// units: its part of the reserve, a few units, each once in a window, and what requesters cede of
// their own parts. One instance's own part would mostly be too small for the requests that it gets.
type Reserve struct {
	used   []grclock.Millis // when each unit of the reserve was handed out
	ceded  float64          // units of own parts
	pooled grclock.Millis   // when units were ceded last
}

// Take hands out at most the wanted number of units and returns how many there were. They may be
// used for the lease time. holds tells whether this instance holds a part of the reserve.
func (r *Reserve) Take(now grclock.Millis, bound *QuotaBound, request *Request, holds bool) int {
	r.drop(now, bound)
	if request.Ceded > 0 {
		r.ceded, r.pooled = r.ceded+request.Ceded, now
	}
	rate := Rate(request.Terms.Quota.PerSecond)
	r.ceded = min(r.ceded, max(rate.per(poolTime)/4, 1))
	wanted := max(request.Wanted, 0)
	units := int(min(float64(wanted), r.ceded))
	r.ceded -= float64(units)
	if !holds {
		return units
	}
	reserve := min(wanted-units, max(bound.reserveUnits()-len(r.used), 0))
	for range reserve {
		r.used = append(r.used, now)
	}
	return units + reserve
}

// Unused reports whether nothing has to be remembered.
func (r *Reserve) Unused(now grclock.Millis, bound *QuotaBound) bool {
	r.drop(now, bound)
	return len(r.used) == 0 && r.ceded == 0
}

// drop forgets the units that cannot be used within the same window as a new one. Unlike grants,
// they may be used up to a lease time after they were handed out.
func (r *Reserve) drop(now grclock.Millis, bound *QuotaBound) {
	for len(r.used) > 0 && now-r.used[0] > bound.span() {
		r.used = r.used[1:]
	}
	if now-r.pooled > poolTime {
		r.ceded = 0
	}
}

// reserveUnits returns the number of units that each holder hands out in a window.
func (b *QuotaBound) reserveUnits() int { return int(reserveShare * b.Slack / ReserveHolders) }

// ReserveDelay returns the time from the start of a process until it may hand out units of the
// reserve, and for which it still counts an instance that has ended. The units that a previous run
// or another holder handed out are no longer in the window then.
func (b *QuotaBound) ReserveDelay() grclock.Millis { return b.span() + viewDelay }

// Parts of the overshoot and of the slack for the time after a restart of all instances, in which
// the window may hold everything that was granted before.
const (
	openingShare      = 0.35 // of the overshoot: units at the opening of the allocator; twice in a window
	openingSlackShare = 0.1  // of the slack: the same
	cautiousShare     = 0.05 // of the overshoot: grants until units of before leave the window
)

// openingUnits returns the units that an allocator may grant at once after a start of all
// instances, once all have confirmed that it allocates.
func (b *QuotaBound) openingUnits(q grroutes.Quota) float64 {
	return openingShare*b.Overshoot*b.requests(q) + openingSlackShare*b.Slack
}

// cautiousRate returns the rate of grants within cautiousTime after a start.
func (b *QuotaBound) cautiousRate(q grroutes.Quota) Rate {
	return Rate(cautiousShare * b.Overshoot * b.requests(q) * float64(grclock.Second) / float64(b.Window))
}

// cautiousTime returns the time after a start of all instances within which the window may hold
// all units that can be granted in one. Later, units leave the window at least as fast as they
// are granted: an allocator grants at most capacity + grantRate x t within any time t.
func (b *QuotaBound) cautiousTime(q grroutes.Quota) grclock.Millis {
	return roundedUp(float64(b.span()) * b.capacity(q) / b.windowUnits(q))
}

// lossRate returns the rate of the own parts of all instances together within cautiousTime after
// the allocator was lost. It takes the place of one opening.
func (b *QuotaBound) lossRate(q grroutes.Quota) Rate {
	units := openingShare * b.Overshoot * b.requests(q)
	return Rate(units * float64(grclock.Second) / float64(max(b.cautiousTime(q), 1)))
}

// requests returns the requests of the quota within a window, its burst included.
func (b *QuotaBound) requests(q grroutes.Quota) float64 {
	return Rate(q.PerSecond).per(b.Window) + q.Burst
}
