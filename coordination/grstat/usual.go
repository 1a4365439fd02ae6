package grstat

import "geraniumrouter/state/grclock"

// usualSize is the number of spans that Usual remembers, and usualLeast how many of
// them must be alike.
const (
	usualSize  = 64
	usualLeast = usualSize / 8
)

// Usual finds the greatest span that comes again and again among recent ones. The
// zero value has seen none.
type Usual struct {
	spans [usualSize]grclock.Millis
	seen  int
}

// Add takes a span.
func (u *Usual) Add(span grclock.Millis) {
	u.spans[u.seen%usualSize] = span
	u.seen++
}

// Greatest returns the greatest span that at least an eighth of the recent ones
// equal, or 0.
func (u *Usual) Greatest() grclock.Millis {
	greatest := grclock.Millis(0)
	for i, span := range u.spans {
		if span > greatest && u.alike(i) >= usualLeast {
			greatest = span
		}
	}
	return greatest
}

func (u *Usual) alike(i int) int {
	n := 0
	for _, other := range u.spans {
		if other == u.spans[i] {
			n++
		}
	}
	return n
}
