package grstandfleet

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	"geraniumrouter/coordination/grcluster"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grident"
)

// maxDetectionTime is the time from a loss of members, or from their return, until all others
// list them no more, or again.
const maxDetectionTime = 8 * grclock.Second

// pauseSpan is how long paused members stand still.
const pauseSpan = 20 * grclock.Second

// loss is a line of testdata/losses.
type loss struct {
	size, lost int
	which, how string
}

func readLosses(t *testing.T) []loss {
	t.Helper()
	data, err := os.ReadFile("testdata/losses")
	if err != nil {
		t.Fatal(err)
	}
	var list []loss
	for line := range strings.Lines(string(data)) {
		if strings.HasPrefix(line, "#") {
			continue
		}
		var l loss
		if _, err := fmt.Sscan(line, &l.size, &l.lost, &l.which, &l.how); err != nil {
			t.Fatalf("%s: %v", line, err)
		}
		list = append(list, l)
	}
	return list
}

func (l *loss) name() string { return fmt.Sprintf("%d_of_%d_%s_%s", l.lost, l.size, l.which, l.how) }

// lossRun is a fleet in which members are lost.
type lossRun struct {
	*Fleet
	loss
	gone, left []int
}

func newLossRun(l loss, seed uint64) *lossRun {
	r := &lossRun{Fleet: New(Config{Members: l.size, Seed: seed, DropProbability: 0.01, OneGroup: true}), loss: l}
	r.Run(10 * grclock.Second)
	order := r.HashOrder()
	first := r.random.IntN(len(order))
	if l.which == "random" {
		for i := range order {
			j := i + r.random.IntN(len(order)-i)
			order[i], order[j] = order[j], order[i]
		}
	}
	for i := range order {
		m := order[(first+i)%len(order)]
		if i < l.lost {
			r.gone = append(r.gone, m)
			continue
		}
		r.left = append(r.left, m)
	}
	return r
}

// lose loses the members, staggered or at once.
func (r *lossRun) lose() {
	for _, i := range r.gone {
		switch r.how {
		case "off":
			r.SwitchOff(i)
		case "staggered":
			r.SwitchOff(i)
			r.Run(300)
		case "killed":
			r.Kill(i)
		case "paused":
			r.Pause(i, pauseSpan)
		case "cut":
			r.cut(i, true)
		}
	}
}

// regain brings the lost members back at once.
func (r *lossRun) regain() {
	for _, i := range r.gone {
		switch r.how {
		case "off", "killed", "staggered":
			r.Restart(i)
		case "cut":
			r.cut(i, false)
		}
	}
	if r.how == "paused" {
		r.Run(pauseSpan - maxDetectionTime)
	}
}

func (r *lossRun) cut(i int, cut bool) {
	for j := range r.members {
		if j != i {
			r.SetPartition(i, j, cut)
		}
	}
}

// listed returns how many pairs of a member that was not lost and one of the others there are of
// which the first lists the second.
func (r *lossRun) listed(others []int) int {
	wanted := make(map[grident.InstanceID]bool, len(others))
	for _, j := range others {
		wanted[r.members[j].id] = true
	}
	n := 0
	for _, i := range r.left {
		for _, m := range r.members[i].cluster.Status() {
			if m.State == grcluster.Live && wanted[m.ID] {
				n++
			}
		}
	}
	return n
}

// isolated returns how many of the members that were not lost take themselves for cut off.
func (r *lossRun) isolated() int {
	n := 0
	for _, i := range r.left {
		if r.members[i].cluster.Isolated() {
			n++
		}
	}
	return n
}

// TestLossesAreNoticed guards against lost members that are named to callers for ever, because
// those that would have noticed their silence are lost too.
func TestLossesAreNoticed(t *testing.T) {
	for _, l := range readLosses(t) {
		t.Run(l.name(), func(t *testing.T) {
			seeds := uint64(10)
			if l.size > 26 || testing.Short() {
				seeds = 2
			}
			for seed := range seeds {
				r := newLossRun(l, seed)
				r.lose()
				for range maxDetectionTime / 500 {
					r.Run(500)
					if n := r.isolated(); len(r.left) > 1 && n > 0 {
						t.Errorf("seed %d: %d of %d members take themselves for cut off", seed, n, len(r.left))
					}
				}
				if n := r.listed(r.gone); n > 0 {
					t.Errorf("seed %d: lost members are listed %d times", seed, n)
				}
				if n := r.listed(r.left); n < len(r.left)*len(r.left) {
					t.Errorf("seed %d: members that run are listed %d times, want %d", seed, n, len(r.left)*len(r.left))
				}
				r.regain()
				r.Run(maxDetectionTime)
				if n := r.listed(r.gone); n < len(r.left)*len(r.gone) {
					t.Errorf("seed %d: after their return members are listed %d times, want %d", seed, n, len(r.left)*len(r.gone))
				}
			}
		})
	}
}

// TestReturnOfOneKeepsLosses guards against an instance that takes all others for running again
// as soon as the first of them is back.
func TestReturnOfOneKeepsLosses(t *testing.T) {
	for seed := range uint64(10) {
		r := newLossRun(loss{size: 11, lost: 10, which: "random", how: "off"}, seed)
		r.lose()
		r.Run(maxDetectionTime)
		back, away := r.gone[0], r.gone[1:]
		r.Restart(back)
		for range 40 {
			r.Run(500)
			if n := r.listed(away); n > 0 {
				t.Errorf("seed %d: %d ms: lost members are listed %d times", seed, r.Now, n)
			}
		}
		if !r.Lists(r.left[0], back) {
			t.Errorf("seed %d: the member that is back is not listed", seed)
		}
	}
}

// TestCutOffMemberAccusesNobody guards against a member that was cut off and then tells the others
// that members which it could not reach are suspect.
func TestCutOffMemberAccusesNobody(t *testing.T) {
	for _, size := range []int{5, 11, 26} {
		for seed := range uint64(10) {
			r := newLossRun(loss{size: size, lost: 1, which: "random", how: "cut"}, seed)
			r.Config.DropProbability = 0
			r.lose()
			r.Run(10 * grclock.Second)
			r.regain()
			missing := 0
			for range 100 {
				r.Run(50)
				missing += len(r.left)*len(r.left) - r.listed(r.left)
			}
			if missing > 0 {
				t.Errorf("%d members, seed %d: members that run were not listed, %d times in 100 looks", size, seed, missing)
			}
		}
	}
}

// watchFigures are what it costs to watch each other, and how fast losses are noticed.
type watchFigures struct {
	quiet     float64        // messages per second of each member while nothing is wrong
	pauses    float64        // likewise, while one member after the other pauses for pauseOf
	suspected int            // looks at one member at which it took another one for suspect meanwhile
	noticed   grclock.Millis // after half of the members, adjacent ones, were switched off
	peak      int            // most messages of one member in a second from then on
}

// pauseOf is shorter than it takes until a member is suspect.
const pauseOf = 1200 * grclock.Millisecond

func measureWatching(size int, seed uint64) watchFigures {
	r := newLossRun(loss{size: size, lost: size / 2, which: "adjacent", how: "off"}, seed)
	r.Run(grclock.Millis(size * startInterval))
	var got watchFigures
	perSecond := func(span grclock.Millis, from int) float64 {
		return float64(r.Report().Messages-from) / float64(size) * float64(grclock.Second) / float64(span)
	}
	from := r.Report().Messages
	r.Run(10 * grclock.Second)
	got.quiet = perSecond(10*grclock.Second, from)
	from = r.Report().Messages
	for range 50 {
		if r.Now%(2*grclock.Second) < 200 {
			r.Pause(r.random.IntN(size), pauseOf)
		}
		r.Run(200)
		for _, m := range r.members[0].cluster.Status() {
			if m.State == grcluster.Suspect {
				got.suspected++
			}
		}
	}
	got.pauses = perSecond(10*grclock.Second, from)
	r.lose()
	lostAt := r.Now
	for r.Now < lostAt+20*grclock.Second {
		if got.noticed == 0 && r.listed(r.gone) == 0 {
			got.noticed = r.Now - lostAt
		}
		before := r.sentBy()
		r.Run(grclock.Second / 4)
		for i, n := range r.sentBy() {
			got.peak = max(got.peak, 4*(n-before[i]))
		}
	}
	return got
}

// sentBy returns the number of messages that each member has sent.
func (f *Fleet) sentBy() []int {
	list := make([]int, len(f.members))
	for i, m := range f.members {
		list[i] = m.sent
	}
	return list
}

// largeFleet adds a fleet to TestWatchFigures.
var largeFleet = flag.Int("large", 0, "members of a further fleet whose figures are measured")

// TestWatchFigures logs what it costs to watch each other, and checks that members which pause for
// less than the time after which they are suspect are not taken for it.
func TestWatchFigures(t *testing.T) {
	sizes := []int{5, 26, 91}
	if *largeFleet > 0 {
		sizes = append(sizes, *largeFleet)
	}
	for _, size := range sizes {
		got := measureWatching(size, 1)
		t.Logf("%d members: %.1f messages/s each, %.1f with pauses and %d false suspicions; half of them switched off: noticed after %d ms, at most %d messages/s of one",
			size, got.quiet, got.pauses, got.suspected, got.noticed, got.peak)
		if got.suspected > 0 {
			t.Errorf("%d members: %d false suspicions", size, got.suspected)
		}
	}
}
