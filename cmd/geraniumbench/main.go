// Command geraniumbench runs benchmarks: the query path against its baselines in virtual
// time, the cost of a sub-request over real connections, and the growth rates of control
// traffic on which docs/CAPACITY.md is based.
package main

import (
	"fmt"
	"os"

	"github.com/integrii/flaggy"
)

// Exit codes of the program.
const (
	exitDone   = 0
	exitFailed = 1
	exitUsage  = 2
)

func main() {
	flaggy.SetName("geraniumbench")
	flaggy.SetDescription("Measurements of geraniumrouter.")
	folder := "bench"
	var queries = 2000
	path := addSubcommand("path", "Measure the query path against its baselines in virtual time.")
	wire := addSubcommand("wire", "Measure a sub-request over real connections on loopback.")
	wire.Int(&queries, "", "queries", "number of queries")
	capacity := addSubcommand("capacity", "Measure the slopes of control and write CSV and SVG.")
	capacity.String(&folder, "", "out", "folder for the files")
	flaggy.Parse()
	var err error
	switch {
	case path.Used:
		measurePath(os.Stdout)
	case wire.Used:
		err = measureWire(os.Stdout, queries)
	case capacity.Used:
		err = measureCapacity(os.Stdout, folder)
	default:
		flaggy.ShowHelp("")
		os.Exit(exitUsage)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
	os.Exit(exitDone)
}

func addSubcommand(name, description string) *flaggy.Subcommand {
	sub := flaggy.NewSubcommand(name)
	sub.Description = description
	flaggy.AttachSubcommand(sub, 1)
	return sub
}
