// Command geraniumrouter runs an entry instance and provides the command-line client for
// callers and operators.
//
// Exit codes: 0 success, 1 the request failed, 2 invalid usage or settings.
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

// command is a subcommand and its implementation, which returns the exit code.
type command struct {
	sub *flaggy.Subcommand
	run func() int
}

func main() {
	flaggy.SetName("geraniumrouter")
	flaggy.SetDescription("A query tier over many shards.")
	commands := append(daemonCommands(), callerCommands()...)
	commands = append(commands, operatorCommands()...)
	commands = append(commands, explainCommands()...)
	for _, c := range commands {
		flaggy.AttachSubcommand(c.sub, 1)
	}
	preset, presetCommands := presetGroup()
	flaggy.AttachSubcommand(preset, 1)
	flaggy.Parse()
	for _, c := range append(presetCommands, commands...) {
		if c.sub.Used {
			os.Exit(c.run())
		}
	}
	flaggy.ShowHelp("")
	os.Exit(exitUsage)
}

func newSubcommand(name, description string) *flaggy.Subcommand {
	sub := flaggy.NewSubcommand(name)
	sub.Description = description
	return sub
}

func fail(err error) int {
	fmt.Fprintln(os.Stderr, err)
	return exitFailed
}

func failUsage(err error) int {
	fmt.Fprintln(os.Stderr, err)
	return exitUsage
}
