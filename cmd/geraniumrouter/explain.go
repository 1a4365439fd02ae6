package main

import (
	"fmt"
	"io"
	"os"

	"geraniumrouter/state/grerror"
	"geraniumrouter/transport/grlog"
)

func explainCommands() []command {
	var id string
	var files []string
	explain := newSubcommand("explain", "Print what the logs of the instances tell about a request.")
	explain.AddPositionalValue(&id, "ID", 1, true, "the id of the request")
	explain.StringSlice(&files, "l", "log", "a log of one or more instances; may be repeated; none: standard input")
	return []command{{explain, func() int { return runExplain(id, files) }}}
}

func runExplain(id string, files []string) int {
	events, err := readLogs(files)
	if err != nil {
		return failUsage(err)
	}
	timeline := grlog.Timeline(events, id)
	if len(timeline) == 0 {
		return fail(grerror.New(grerror.UnknownRequest,
			"no line names %s: it ended whole and in time, or never came to these instances", id))
	}
	printTimeline(os.Stdout, timeline, id)
	return exitDone
}

// printTimeline prints the timeline of a request and marks the lines that belong to the request
// itself with "*". The other lines are state changes of the instances around that time.
func printTimeline(w io.Writer, timeline []grlog.Event, id string) {
	for _, e := range timeline {
		mark := " "
		if e.Request == id {
			mark = "*"
		}
		fmt.Fprintf(w, "%s %s %s: %s\n", mark, e.At.Format("15:04:05.000"), e.Instance, e.Text)
	}
}

func readLogs(files []string) ([]grlog.Event, error) {
	if len(files) == 0 {
		return grlog.Read(os.Stdin)
	}
	var events []grlog.Event
	for _, name := range files {
		list, err := readLog(name)
		if err != nil {
			return nil, err
		}
		events = append(events, list...)
	}
	return events, nil
}

func readLog(name string) ([]grlog.Event, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	return grlog.Read(file)
}
