package grlog

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// TestTimeline builds the timeline of a request from the logs of several instances.
func TestTimeline(t *testing.T) {
	datadriven.RunTest(t, "testdata/timeline", func(t *testing.T, d *datadriven.TestData) string {
		events, err := Read(strings.NewReader(d.Input))
		if err != nil {
			return err.Error() + "\n"
		}
		var id string
		d.ScanArgs(t, "id", &id)
		var text strings.Builder
		for _, e := range Timeline(events, id) {
			fmt.Fprintf(&text, "%s %s %s %q\n", e.At.Format("05.000"), e.Instance, e.Name, e.Request)
		}
		return text.String()
	})
}
