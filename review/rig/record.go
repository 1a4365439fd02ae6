package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes the record of a case: one line an event, with the seconds since the
// start of the case.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	out   *bufio.Writer
	start time.Time
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{file: f, out: bufio.NewWriter(f), start: time.Now()}, nil
}

func (r *recorder) line(who, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%9.4f %s: %s\n", time.Since(r.start).Seconds(), who, fmt.Sprintf(format, args...))
}

func (r *recorder) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.out.Flush()
	r.file.Close()
}

// summary writes a line to the record and to the terminal.
func (r *recorder) summary(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.line("result", "%s", text)
	fmt.Println(text)
}
