// Package grclock represents time and durations in milliseconds and is the only package
// that reads the system clock.
//
// Decision logic takes the current time as a Millis argument and never reads a clock, so
// that tests and benchmarks can run it in virtual time. Daemons use a Clock.
//
//	clock := grclock.System()
//	deadline := clock.Now() + 200*grclock.Millisecond
package grclock

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// Millis is a point in time or a duration, in milliseconds. Points in time count from
// the Unix epoch in daemons and from zero in virtual time.
type Millis int64

// Common durations.
const (
	Millisecond Millis = 1
	Second             = 1000 * Millisecond
	Minute             = 60 * Second
	Hour               = 60 * Minute
)

// Never is later than any time that can occur.
const Never Millis = 1 << 62

// Duration converts m to a time.Duration.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// FromDuration converts d to milliseconds, truncating any fraction.
func FromDuration(d time.Duration) Millis { return Millis(d / time.Millisecond) }

// Clock reads the system time. The zero value is not usable; see System.
type Clock struct {
	start time.Time
	epoch Millis
}

// System returns a clock that starts at the current wall-clock time and then advances
// with the monotonic clock, so that adjustments of the wall clock never move it back.
func System() Clock {
	now := time.Now() // grclock is the only reader of the system clock.
	return Clock{start: now, epoch: Millis(now.UnixMilli())}
}

// Now returns the current point in time.
func (c Clock) Now() Millis {
	return c.epoch + FromDuration(time.Since(c.start)) // grclock may read the system clock.
}

// Uptime returns the time since boot, including time in suspend, which Now does not
// count. It returns 0 where the system does not provide it.
func Uptime() Millis {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &t) != nil {
		return 0
	}
	return FromDuration(time.Duration(t.Nano()))
}

// Sleep waits for the duration span or until ctx is done, and reports whether the full
// duration elapsed.
func (c Clock) Sleep(ctx context.Context, span Millis) bool {
	timer := time.NewTimer(span.Duration()) // grclock may read the system clock.
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Timer is a resettable timer that sends on its channel C when it expires.
type Timer struct {
	C     <-chan time.Time
	timer *time.Timer
}

// NewTimer returns a timer that expires after span.
func (c Clock) NewTimer(span Millis) *Timer {
	timer := time.NewTimer(span.Duration()) // grclock may read the system clock.
	return &Timer{C: timer.C, timer: timer}
}

// Reset reschedules the timer to expire after span, limited to 0 to 1 hour. A pending
// expiry is cancelled.
func (t *Timer) Reset(span Millis) { t.timer.Reset(min(max(span, 0), Hour).Duration()) }

// Stop cancels a pending expiry.
func (t *Timer) Stop() { t.timer.Stop() }

// DeadlineIn returns the wall-clock time span from now, for read and write deadlines of
// network connections.
func DeadlineIn(span Millis) time.Time {
	return time.Now().Add(span.Duration()) // grclock may read the system clock.
}
