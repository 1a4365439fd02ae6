package granswer

import "testing"

// TestGreatest keeps equal records and leaves out what is shorter than one.
func TestGreatest(t *testing.T) {
	bodies := [][]byte{[]byte("aaccx"), []byte("bbccdd"), nil}
	for n, want := range map[int]string{0: "", 2: "ddcc", 3: "ddcccc", 9: "ddccccbbaa"} {
		if got := string(Greatest(bodies, 2, n)); got != want {
			t.Errorf("%d greatest: %q, want %q", n, got, want)
		}
	}
}
