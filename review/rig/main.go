// Command rig plays the script cases of the review. It starts the project's own program
// as separate processes with the command of the deploy file, and runs small stand-ins for
// the platform's store, the searchers and the clients in its own process:
//
//	rig CASE RECORD
//
// CASE names the case, RECORD the file for what was sent, answered and run. TROUBLE=0 in
// the environment leaves the disruption out. The exit code is 1 if the rule was broken,
// 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

// A scenario plays one case and returns the exit code.
type scenario func(r *recorder, trouble bool) (int, error)

var scenarios = map[string]scenario{
	"late-refusal":            lateRefusal,
	"clients-leave":           clientsLeave,
	"restart-during-scale-in": restartDuringScaleIn,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE RECORD")
		return cannotRun
	}
	r, err := newRecorder(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	defer r.close()
	defer stopRouters()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-interrupted
		stopRouters()
		os.Exit(cannotRun)
	}()
	code, err := scenarios[os.Args[1]](r, os.Getenv("TROUBLE") != "0")
	if err != nil {
		r.line("case", "cannot run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	return code
}
