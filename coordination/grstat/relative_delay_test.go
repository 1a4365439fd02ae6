package grstat

import (
	"testing"

	"geraniumrouter/state/grclock"
)

// TestRelativeDelay checks that the offset between the clocks does not count as delay.
func TestRelativeDelay(t *testing.T) {
	var relative RelativeDelay
	for _, c := range []struct{ sent, received, want int64 }{
		{1000, 51, 0}, {1100, 150, 0}, {1200, 251, 1}, {1300, 900, 550}, {1400, 450, 0},
	} {
		if got := relative.Update(grclock.Millis(c.sent), grclock.Millis(c.received)); got != grclock.Millis(c.want) {
			t.Errorf("sent %d, received %d: delay %d ms, want %d", c.sent, c.received, got, c.want)
		}
	}
}
