package grlog

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"go.uber.org/zap/zapcore"

	"geraniumrouter/state/grclock"
)

// TestWarningAfterInfoFlood checks that a warning after a flood of info lines is written,
// and that the number of dropped lines is logged.
func TestWarningAfterInfoFlood(t *testing.T) {
	var out bytes.Buffer
	sink := &Sink{Out: &out, Clock: grclock.System()}
	log := sink.Logger(zapcore.InfoLevel)
	for range 10 * infoPerSec {
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
	if strings.Count(text, "ordinary") > 2*infoPerSec {
		t.Errorf("%d info lines written", strings.Count(text, "ordinary"))
	}
	if !strings.Contains(text, "failure") || !strings.Contains(text, "log lines dropped") {
		t.Errorf("no warning or no report of dropped lines:\n%s", text)
	}
}

// TestWriteDoesNotBlock checks that Write does not block while nothing drains the queue.
func TestWriteDoesNotBlock(t *testing.T) {
	sink := &Sink{Clock: grclock.System()}
	sink.init()
	for range 2 * queueLines {
		if _, err := sink.Write([]byte("line\n")); err != nil {
			t.Fatal(err)
		}
	}
	if sink.queue.Len() != queueLines || sink.dropped != queueLines {
		t.Errorf("%d lines queued, %d dropped", sink.queue.Len(), sink.dropped)
	}
}
