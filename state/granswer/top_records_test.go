package granswer

import "testing"

// TestTopRecords checks that duplicate records are kept and that an incomplete record at
// the end of a body is ignored.
func TestTopRecords(t *testing.T) {
	bodies := [][]byte{[]byte("aaccx"), []byte("bbccdd"), nil}
	for n, want := range map[int]string{0: "", 2: "ddcc", 3: "ddcccc", 9: "ddccccbbaa"} {
		if got := string(TopRecords(bodies, 2, n)); got != want {
			t.Errorf("%d greatest records: got %q, want %q", n, got, want)
		}
	}
}
