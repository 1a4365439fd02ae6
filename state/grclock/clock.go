// Package grclock holds the one notion of time of the project: milliseconds.
//
// Decision code takes a Millis as an argument and never reads a clock itself.
// Daemons read a Clock; tests and benchmarks count virtual milliseconds.
//
//	clock := grclock.System()
//	deadline := clock.Now() + 200*grclock.Millisecond
package grclock

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// Millis is a point in time or a span, in milliseconds. Points count from the
// start of the Unix epoch in daemons and from zero in virtual time.
type Millis int64

// Spans of common length.
const (
	Millisecond Millis = 1
	Second             = 1000 * Millisecond
	Minute             = 60 * Second
	Hour               = 60 * Minute
)

// Never is later than every point in time that a daemon reaches.
const Never Millis = 1 << 62

// Duration converts a span for the standard library.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// FromDuration rounds a standard span down to whole milliseconds.
func FromDuration(d time.Duration) Millis { return Millis(d / time.Millisecond) }

// Clock reads the machine's time. The zero value is not usable; see System.
type Clock struct {
	start time.Time
	epoch Millis
}

// System returns a clock that starts from the machine's date and then follows
// its monotonic counter, so that a change of the date never moves it back.
func System() Clock {
	now := time.Now() // grclock is the only reader of the machine's time.
	return Clock{start: now, epoch: Millis(now.UnixMilli())}
}

// Now returns the current point in time.
func (c Clock) Now() Millis {
	return c.epoch + FromDuration(time.Since(c.start)) // grclock
}

// Uptime returns the time since the machine started, also that in which it was
// suspended, which Now leaves out. 0 where the machine does not tell.
func Uptime() Millis {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &t) != nil {
		return 0
	}
	return FromDuration(time.Duration(t.Nano()))
}

// Sleep waits for the span or until ctx ends, and reports whether the whole
// span passed.
func (c Clock) Sleep(ctx context.Context, span Millis) bool {
	timer := time.NewTimer(span.Duration()) // grclock
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Alarm is a resettable timer that fires on its channel C.
type Alarm struct {
	C     <-chan time.Time
	timer *time.Timer
}

// NewAlarm returns an alarm that fires after the span.
func (c Clock) NewAlarm(span Millis) *Alarm {
	timer := time.NewTimer(span.Duration()) // grclock
	return &Alarm{C: timer.C, timer: timer}
}

// Reset makes the alarm fire after the span from now, an hour at the most, and
// forgets an earlier one.
func (a *Alarm) Reset(span Millis) { a.timer.Reset(min(max(span, 0), Hour).Duration()) }

// Stop keeps the alarm from firing.
func (a *Alarm) Stop() { a.timer.Stop() }

// DeadlineIn returns the wall time after the span, for deadlines of network
// connections.
func DeadlineIn(span Millis) time.Time {
	return time.Now().Add(span.Duration()) // grclock
}
