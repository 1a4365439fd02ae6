package grlog

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"go.uber.org/zap/zapcore"

	"geraniumrouter/state/grclock"
)

// TestFailuresOutlastFlood keeps a warning that comes after a flood of ordinary
// lines, and says how many were dropped.
func TestFailuresOutlastFlood(t *testing.T) {
	var out bytes.Buffer
	sink := &Sink{Out: &out, Clock: grclock.System()}
	log := sink.Logger(zapcore.InfoLevel)
	for range 10 * infoLines {
		log.Info("ordinary")
	}
	log.Warn("failure")
	sink.reportDropped()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := sink.Run(ctx); err != nil {
		t.Fatal(err)
	}
	text := out.String()
	if strings.Count(text, "ordinary") > 2*infoLines {
		t.Errorf("%d ordinary lines", strings.Count(text, "ordinary"))
	}
	if !strings.Contains(text, "failure") || !strings.Contains(text, "log lines dropped") {
		t.Errorf("no failure or no count of what was dropped:\n%s", text)
	}
}

// TestNobodyReads never waits for a writer that stands still.
func TestNobodyReads(t *testing.T) {
	sink := &Sink{Clock: grclock.System()}
	sink.init()
	for range 2 * ringLines {
		if _, err := sink.Write([]byte("line\n")); err != nil {
			t.Fatal(err)
		}
	}
	if sink.lines.Len() != ringLines || sink.dropped != ringLines {
		t.Errorf("%d lines wait, %d were dropped", sink.lines.Len(), sink.dropped)
	}
}
