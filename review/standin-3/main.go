package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	notRun = 2
)

// longest is the time after which a case is given up.
const longest = 112 * time.Second

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin-3 CASE RECORD")
		os.Exit(notRun)
	}
	cases := map[string]func(w *world, trouble bool) int{"split": split, "drill": drill, "gone": gone}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(notRun)
	}
	w, err := newWorld(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(notRun)
	}
	code := make(chan int, 1)
	go func() { code <- play(w, os.Getenv("TROUBLE") != "0") }()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	ended := notRun
	select {
	case ended = <-code:
	case <-stop:
	case <-time.After(longest):
		w.note("not ended after %v", longest)
	}
	w.close()
	os.Exit(ended)
}
