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

// fleetSizes holds the fleet sizes that are measured, in members (entry instances).
var fleetSizes = []int{5, 20, 80, 320}

const (
	searchersPerMember = 7.5  // ratio of the planned deployment
	messageLossRate    = 0.01 // fraction of messages lost
	failureDomains     = 9
	idleDuration       = 10 * grclock.Second
	presetSwitches     = 10 // preset switches measured
	memberRestarts     = 3  // member restarts measured
	maxPropagation     = 8 * grclock.Second
	propagationStep    = 10 * grclock.Millisecond
)

// measurement holds the measurements at one fleet size.
type measurement struct {
	members               int
	messages              float64 // per member and second while idle, sent and received
	bytes                 float64 // per member and second while idle, sent and received
	switchBytes           float64 // bytes per member and preset switch
	propagation           float64 // longest time until a switch had reached all members, ms
	cpuMicros             float64 // CPU time per message, µs
	stateBytes            float64 // heap bytes per member
	platformCalls         float64 // calls per second of the whole fleet
	restartBytes          float64 // bytes per member for the restart of one member
	domainLossPropagation float64 // like propagation, right after the loss of a failure domain, ms
}

var columns = []string{"members", "messages_per_s", "bytes_per_s", "bytes_per_change", "spread_ms", "us_per_message", "state_bytes", "platform_calls_per_s", "bytes_per_restart", "domain_spread_ms"}

func (r *measurement) values() []float64 {
	return []float64{float64(r.members), r.messages, r.bytes, r.switchBytes, r.propagation, r.cpuMicros, r.stateBytes, r.platformCalls, r.restartBytes, r.domainLossPropagation}
}

// measureCapacity measures every fleet size, prints a table and writes one CSV file and one
// SVG plot for each column.
func measureCapacity(w io.Writer, folder string) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return err
	}
	var rows []measurement
	for _, name := range columns {
		fmt.Fprintf(w, "%21s", name)
	}
	fmt.Fprintln(w)
	for _, n := range fleetSizes {
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
	return plotColumns(folder, rows)
}

func measureSize(n int) measurement {
	base := heapBytes()
	searchers := int(searchersPerMember * float64(n))
	f := grstandfleet.New(grstandfleet.Config{Members: n, Domains: failureDomains, Searchers: searchers, ConnLimit: 2 * n, DropProbability: messageLossRate, Seed: 1})
	f.Run(grclock.Millis(n)*10 + 10*grclock.Second)
	r := measurement{members: n, stateBytes: (heapBytes() - base) / float64(n)}
	f.Config.CountBytes = true
	before, callsBefore := f.Report(), f.Platform.CallCount
	start := cpuTime()
	f.Run(idleDuration)
	after := f.Report()
	count := after.Messages + after.Answers - before.Messages - before.Answers
	r.cpuMicros = (cpuTime() - start) / float64(count)
	seconds := float64(idleDuration) / float64(grclock.Second)
	// Each message is sent by one member and received by another.
	r.messages = 2 * float64(count) / float64(n) / seconds
	r.bytes = 2 * float64(after.Bytes-before.Bytes) / float64(n) / seconds
	r.platformCalls = float64(f.Platform.CallCount-callsBefore) / seconds
	measureSwitches(f, &r)
	measureRestarts(f, &r)
	measureDomainLoss(f, &r)
	return r
}

// idleBytes returns the bytes that an idle fleet sends in the given time.
func (r *measurement) idleBytes(span grclock.Millis) float64 {
	return r.bytes / 2 * float64(r.members) * float64(span) / float64(grclock.Second)
}

// measureRestarts stops members and starts them again, one at a time, and measures the
// traffic that this adds to that of an idle fleet.
func measureRestarts(f *grstandfleet.Fleet, r *measurement) {
	before, start := f.Report().Bytes, f.Now
	for i := range memberRestarts {
		f.Kill(i)
		f.Run(2 * grclock.Second)
		f.Restart(i)
		f.Run(5 * grclock.Second)
	}
	sent := float64(f.Report().Bytes-before) - r.idleBytes(f.Now-start)
	r.restartBytes = 2 * sent / float64(r.members) / memberRestarts
}

// measureDomainLoss stops all members of one failure domain at once and then measures how
// long a preset switch takes to reach the others.
func measureDomainLoss(f *grstandfleet.Fleet, r *measurement) {
	for i := 0; i < r.members; i += failureDomains {
		f.Kill(i)
	}
	r.domainLossPropagation = propagationTime(f, 1)
}

// propagationTime switches the preset through one member and returns the time in ms until the
// switch is active on all live members, or maxPropagation if that takes longer.
func propagationTime(f *grstandfleet.Fleet, member int) float64 {
	generation, _ := f.SwitchPreset(member, "ordinary")
	start := f.Now
	for f.Now-start < maxPropagation {
		f.Run(propagationStep)
		if active, live := f.CountInForce(generation); active == live {
			break
		}
	}
	return float64(f.Now - start)
}

// measureSwitches switches the preset several times, each time through another member, and
// measures the propagation time and the additional traffic.
func measureSwitches(f *grstandfleet.Fleet, r *measurement) {
	before, start := f.Report().Bytes, f.Now
	for i := range presetSwitches {
		r.propagation = max(r.propagation, propagationTime(f, i*7%r.members))
		f.Run(2 * grclock.Second)
	}
	sent := float64(f.Report().Bytes-before) - r.idleBytes(f.Now-start)
	r.switchBytes = 2 * sent / float64(r.members) / presetSwitches
}

func writeCSV(path string, rows []measurement) error {
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

// plotColumns plots each column against the number of members.
func plotColumns(folder string, rows []measurement) error {
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
