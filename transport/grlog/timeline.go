package grlog

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"slices"
	"time"

	"geraniumrouter/state/grclock"
)

// Event is one log line.
type Event struct {
	At       time.Time
	Name     string
	Instance string
	Request  string // id of the request; "" for a change of the instance's own state
	Text     string // the JSON of the line
}

// eventWire is the JSON form of a log line, with the fields used here.
type eventWire struct {
	At       string `json:"ts"`
	Name     string `json:"msg"`
	Instance string `json:"instance"`
	Request  string `json:"request_id"`
}

// timestampLayout is the layout of the timestamps in log lines.
const timestampLayout = "2006-01-02T15:04:05.000Z0700"

// maxLine is the maximum length of a log line, in bytes.
const maxLine = 1 << 20

// Read parses a log. Text before the JSON of a line, such as the prefix of a container
// runtime, is ignored; lines without a valid event are skipped.
func Read(from io.Reader) ([]Event, error) {
	var list []Event
	lines := bufio.NewScanner(from)
	lines.Buffer(nil, maxLine)
	for lines.Scan() {
		start := bytes.IndexByte(lines.Bytes(), '{')
		var w eventWire
		if start < 0 || json.Unmarshal(lines.Bytes()[start:], &w) != nil {
			continue
		}
		at, err := time.Parse(timestampLayout, w.At)
		if err != nil {
			continue
		}
		list = append(list, Event{at, w.Name, w.Instance, w.Request, string(lines.Bytes()[start:])})
	}
	return list, lines.Err()
}

// lookback is how long before a request a state change of an instance may still affect
// the request.
const lookback = 5 * grclock.Second

// Timeline returns the timeline of a request, ordered by time: its log lines, and the state
// changes on the instances that logged them, from 5 s before the first of these lines to
// the last.
func Timeline(events []Event, request string) []Event {
	var from, to time.Time
	involved := make(map[string]bool) // instances that logged it
	for _, e := range events {
		if e.Request != request {
			continue
		}
		involved[e.Instance] = true
		if from.IsZero() || e.At.Before(from) {
			from = e.At
		}
		if e.At.After(to) {
			to = e.At
		}
	}
	from = from.Add(-lookback.Duration())
	var timeline []Event
	for _, e := range events {
		ofRequest := e.Request == request
		stateChange := e.Request == "" && involved[e.Instance] && !e.At.Before(from) && !e.At.After(to)
		if ofRequest || stateChange {
			timeline = append(timeline, e)
		}
	}
	slices.SortStableFunc(timeline, func(a, b Event) int { return a.At.Compare(b.At) })
	return timeline
}
