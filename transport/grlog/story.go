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

// Event is one line of a log.
type Event struct {
	At       time.Time
	Name     string
	Instance string
	Request  string // id of the request that it is about; "" for what an instance believes
	Text     string // the line as it was written
}

// eventWire holds the fields of a line by which stories are told.
type eventWire struct {
	At       string `json:"ts"`
	Name     string `json:"msg"`
	Instance string `json:"instance"`
	Request  string `json:"request_id"`
}

// timeForm is how the times of lines are written.
const timeForm = "2006-01-02T15:04:05.000Z0700"

// maxLine bounds a line of a log, in bytes.
const maxLine = 1 << 20

// Read returns the events of a log. Lines that are no event are left out.
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
		at, err := time.Parse(timeForm, w.At)
		if err != nil {
			continue
		}
		list = append(list, Event{at, w.Name, w.Instance, w.Request, string(lines.Bytes()[start:])})
	}
	return list, lines.Err()
}

// before is how long before a request what its instances came to believe may
// have to do with it.
const before = 5 * grclock.Second

// Story returns what is known of a request, in the order of time: the lines that
// name it, and the changes of what the instances among them believed, from a
// while before until its end.
func Story(events []Event, request string) []Event {
	var from, to time.Time
	took := make(map[string]bool) // instances that dealt with it
	for _, e := range events {
		if e.Request != request {
			continue
		}
		took[e.Instance] = true
		if from.IsZero() || e.At.Before(from) {
			from = e.At
		}
		if e.At.After(to) {
			to = e.At
		}
	}
	from = from.Add(-before.Duration())
	var story []Event
	for _, e := range events {
		about := e.Request == request
		belief := e.Request == "" && took[e.Instance] && !e.At.Before(from) && !e.At.After(to)
		if about || belief {
			story = append(story, e)
		}
	}
	slices.SortStableFunc(story, func(a, b Event) int { return a.At.Compare(b.At) })
	return story
}
