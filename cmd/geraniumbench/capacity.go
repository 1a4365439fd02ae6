package main

import (
	"encoding/csv"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"geraniumrouter/standin/grstandfleet"
	"geraniumrouter/state/grclock"
)

// sizes are the numbers of members measured; searchersPerMember is the ratio of
// the planned size.
var sizes = []int{5, 20, 80, 320}

const (
	searchersPerMember = 7.5
	dropped            = 0.01
	domains            = 9
	spanIdle           = 10 * grclock.Second
	changes            = 10 // switches measured
	restarts           = 3  // restarts measured
	maxSpread          = 8 * grclock.Second
	spreadStep         = 10 * grclock.Millisecond
)

// row is what was measured at one size.
type row struct {
	members       int
	messages      float64 // idle, for a member and second, in and out
	bytes         float64 // idle, for a member and second, in and out
	changeBytes   float64 // for a member and change
	spread        float64 // longest time until all had a change, ms
	micros        float64 // processor time for a message, µs
	stateBytes    float64 // heap for a member
	platformCalls float64 // of the whole fleet, for a second
	restartBytes  float64 // for a member and restart of one of them
	domainSpread  float64 // as spread, right after a failure domain was lost, ms
}

var columns = []string{"members", "messages_per_s", "bytes_per_s", "bytes_per_change", "spread_ms", "us_per_message", "state_bytes", "platform_calls_per_s", "bytes_per_restart", "domain_spread_ms"}

func (r *row) values() []float64 {
	return []float64{float64(r.members), r.messages, r.bytes, r.changeBytes, r.spread, r.micros, r.stateBytes, r.platformCalls, r.restartBytes, r.domainSpread}
}

// measureCapacity measures every size, prints a table and writes CSV and SVG.
func measureCapacity(w io.Writer, folder string) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return err
	}
	var rows []row
	for _, name := range columns {
		fmt.Fprintf(w, "%21s", name)
	}
	fmt.Fprintln(w)
	for _, n := range sizes {
		r := measureSize(n)
		rows = append(rows, r)
		for _, v := range r.values() {
			fmt.Fprintf(w, "%21.1f", v)
		}
		fmt.Fprintln(w)
	}
	if err := writeCSV(filepath.Join(folder, "capacity.csv"), rows); err != nil {
		return err
	}
	return drawAll(folder, rows)
}

func measureSize(n int) row {
	base := heapBytes()
	searchers := int(searchersPerMember * float64(n))
	f := grstandfleet.New(grstandfleet.Config{Members: n, Domains: domains, Searchers: searchers, ConnLimit: 2 * n, Drop: dropped, Seed: 1})
	f.Run(grclock.Millis(n)*10 + 10*grclock.Second)
	r := row{members: n, stateBytes: (heapBytes() - base) / float64(n)}
	f.Config.Measure = true
	before, calls := f.Report(), f.Platform.Calls
	start := processorTime()
	f.Run(spanIdle)
	after := f.Report()
	count := after.Messages + after.Answers - before.Messages - before.Answers
	r.micros = (processorTime() - start) / float64(count)
	seconds := float64(spanIdle) / float64(grclock.Second)
	// Each message is sent by one member and received by another.
	r.messages = 2 * float64(count) / float64(n) / seconds
	r.bytes = 2 * float64(after.Bytes-before.Bytes) / float64(n) / seconds
	r.platformCalls = float64(f.Platform.Calls-calls) / seconds
	measureChanges(f, &r)
	measureRestarts(f, &r)
	measureDomainLoss(f, &r)
	return r
}

// idleBytes returns the bytes that the fleet would have sent without a change.
func (r *row) idleBytes(span grclock.Millis) float64 {
	return r.bytes / 2 * float64(r.members) * float64(span) / float64(grclock.Second)
}

// measureRestarts ends members and starts them again, one after the other.
func measureRestarts(f *grstandfleet.Fleet, r *row) {
	before, start := f.Report().Bytes, f.Now
	for i := range restarts {
		f.Kill(i)
		f.Run(2 * grclock.Second)
		f.Restart(i)
		f.Run(5 * grclock.Second)
	}
	sent := float64(f.Report().Bytes-before) - r.idleBytes(f.Now-start)
	r.restartBytes = 2 * sent / float64(r.members) / restarts
}

// measureDomainLoss ends all members of one failure domain at once and then
// switches the preset.
func measureDomainLoss(f *grstandfleet.Fleet, r *row) {
	for i := 0; i < r.members; i += domains {
		f.Kill(i)
	}
	r.domainSpread = spreadOf(f, 1)
}

// spreadOf switches the preset at a member and returns how long it took until
// it was in force on all.
func spreadOf(f *grstandfleet.Fleet, member int) float64 {
	generation, _ := f.Switch(member, "ordinary")
	start := f.Now
	for f.Now-start < maxSpread {
		f.Run(spreadStep)
		if have, live := f.InForce(generation); have == live {
			break
		}
	}
	return float64(f.Now - start)
}

// measureChanges switches the preset several times, each time at another
// member.
func measureChanges(f *grstandfleet.Fleet, r *row) {
	before, start := f.Report().Bytes, f.Now
	for i := range changes {
		r.spread = max(r.spread, spreadOf(f, i*7%r.members))
		f.Run(2 * grclock.Second)
	}
	sent := float64(f.Report().Bytes-before) - r.idleBytes(f.Now-start)
	r.changeBytes = 2 * sent / float64(r.members) / changes
}

func writeCSV(path string, rows []row) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	defer file.Close()
	table := csv.NewWriter(file)
	if err := table.Write(columns); err != nil {
		return err
	}
	for i := range rows {
		var line []string
		for _, v := range rows[i].values() {
			line = append(line, strconv.FormatFloat(v, 'f', 1, 64))
		}
		if err := table.Write(line); err != nil {
			return err
		}
	}
	table.Flush()
	return table.Error()
}

// drawAll draws each column over the number of members.
func drawAll(folder string, rows []row) error {
	for column := 1; column < len(columns); column++ {
		points := make(plotter.XYs, len(rows))
		for i := range rows {
			points[i].X, points[i].Y = float64(rows[i].members), rows[i].values()[column]
		}
		p := plot.New()
		p.X.Label.Text, p.Y.Label.Text = columns[0], columns[column]
		line, dots, err := plotter.NewLinePoints(points)
		if err != nil {
			return err
		}
		p.Add(line, dots)
		if err := p.Save(12*vg.Centimeter, 8*vg.Centimeter, filepath.Join(folder, columns[column]+".svg")); err != nil {
			return err
		}
	}
	return nil
}
