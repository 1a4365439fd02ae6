package grhttp

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"runtime"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"geraniumrouter/transport/grgroup"
)

// malformedInput is malformed input of a caller: prefix is sent once, then repeated over
// and over until the server closes the connection.
type malformedInput struct {
	name             string
	status           int
	prefix, repeated string
}

func readMalformedInputs(t *testing.T) []malformedInput {
	t.Helper()
	data, err := os.ReadFile("testdata/callers.txt")
	if err != nil {
		t.Fatal(err)
	}
	var list []malformedInput
	for line := range strings.Lines(string(data)) {
		if strings.HasPrefix(line, "#") {
			continue
		}
		name, rest, _ := strings.Cut(strings.TrimSpace(line), " ")
		number, rest, _ := strings.Cut(strings.TrimSpace(rest), " ")
		status, err := strconv.Atoi(number)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		rest = strings.TrimSpace(rest)
		first, err := strconv.QuotedPrefix(rest)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		list = append(list, malformedInput{name, status, unquote(t, first), unquote(t, strings.TrimSpace(rest[len(first):]))})
	}
	return list
}

func unquote(t *testing.T, text string) string {
	t.Helper()
	plain, err := strconv.Unquote(text)
	if err != nil {
		t.Fatalf("%s: %v", text, err)
	}
	return plain
}

// send sends the input and returns the status of the response after the server has
// closed the connection, or 0 if there was no response.
func (m malformedInput) send(address string, repeated []byte) int {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return 0
	}
	defer conn.Close()
	_, err = conn.Write([]byte(m.prefix))
	for err == nil && len(repeated) > 0 {
		_, err = conn.Write(repeated)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body) // The end of the connection ends the body.
	return response.StatusCode
}

// Number of concurrent callers in TestMalformedInput, and the heap in bytes that they may
// use together.
const (
	concurrentCallers = 200
	maxHeap           = 32 << 20
)

// TestMalformedInput checks that malformed input gets the expected status, or no response
// if the caller is still sending, that no request smuggled in it is served, and that the
// server buffers little of it.
func TestMalformedInput(t *testing.T) {
	var smuggled atomic.Int64
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	group := grgroup.New(context.Background())
	server := &Server{ShutdownTimeout: 100, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/smuggled" {
			smuggled.Add(1)
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			panic(http.ErrAbortHandler)
		}
	})}
	group.Start(func(ctx context.Context) error { return server.Serve(ctx, listener) })
	t.Cleanup(func() {
		group.Stop()
		_ = group.Wait() // The closed listener is not a failure here.
	})
	for _, input := range readMalformedInputs(t) {
		t.Run(input.name, func(t *testing.T) {
			var block []byte
			if input.repeated != "" {
				block = bytes.Repeat([]byte(input.repeated), 64<<10/len(input.repeated))
			}
			baseline := heapInUse()
			statuses := make(chan int, concurrentCallers)
			for range concurrentCallers {
				// Tests may start goroutines without a group.
				go func() { statuses <- input.send(listener.Addr().String(), block) }()
			}
			peak := uint64(0)
			for ended := 0; ended < concurrentCallers; {
				select {
				case status := <-statuses:
					ended++
					if status != 0 && status != input.status && status != http.StatusBadRequest {
						t.Errorf("status %d, want %d, 400 or none", status, input.status)
					}
				case <-time.After(10 * time.Millisecond):
				}
				peak = max(peak, heapInUse())
			}
			if peak > baseline+maxHeap {
				t.Errorf("heap grew to %d bytes from %d", peak, baseline)
			}
		})
	}
	if n := smuggled.Load(); n > 0 {
		t.Errorf("%d smuggled requests were served", n)
	}
}

func heapInUse() uint64 {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
