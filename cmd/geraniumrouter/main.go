// Command geraniumrouter runs an entry instance and gives callers and
// operators a command line.
//
// Exit codes: 0 done, 1 the request failed, 2 usage or settings.
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

// command is one subcommand and what it does.
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

func newSub(name, description string) *flaggy.Subcommand {
	sub := flaggy.NewSubcommand(name)
	sub.Description = description
	return sub
}

func failed(err error) int {
	fmt.Fprintln(os.Stderr, err)
	return exitFailed
}

func misused(err error) int {
	fmt.Fprintln(os.Stderr, err)
	return exitUsage
}
