package grlimit

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
)

// TestReadBody checks that bodies with sizes around those of the buffers are read
// completely from different readers, and that the budget is released.
func TestReadBody(t *testing.T) {
	const limit = 200_000
	budget := &Budget{Size: limit}
	for _, n := range []int{0, 1, minBuffer - 1, minBuffer, minBuffer + 1, unchargedBytes, unchargedBytes + 1, 70_000, limit - 1, limit} {
		want := bytes.Repeat([]byte("x"), n)
		for _, stated := range []int64{-1, int64(n)} {
			for name, reader := range map[string]io.Reader{
				"whole": bytes.NewReader(want), "halves": iotest.HalfReader(bytes.NewReader(want)),
				"end with data": iotest.DataErrReader(bytes.NewReader(want)),
			} {
				got, err := ReadBody(reader, stated, limit, budget)
				if err != nil || !bytes.Equal(got, want) {
					t.Errorf("%d bytes, %d stated, %s: got %d bytes, %v", n, stated, name, len(got), err)
				}
			}
		}
	}
	if budget.used != 0 {
		t.Errorf("%d bytes of the budget are still used", budget.used)
	}
}

// TestReadBodyFails checks the errors for bodies that are too long, truncated, broken off
// or beyond the budget, and that the budget is released.
func TestReadBodyFails(t *testing.T) {
	budget := &Budget{Size: 50_000}
	long := strings.NewReader(strings.Repeat("x", 100_000))
	var sizeErr *SizeError
	if _, err := ReadBody(long, -1, 10_000, budget); !errors.As(err, &sizeErr) || sizeErr.Limit != 10_000 {
		t.Errorf("body over the limit: %v", err)
	}
	if _, err := ReadBody(strings.NewReader("x"), 90_000_000_000, 10_000, budget); !errors.As(err, &sizeErr) {
		t.Errorf("stated length over the limit: %v", err)
	}
	if _, err := ReadBody(strings.NewReader("xx"), 3, 10_000, budget); err != io.ErrUnexpectedEOF {
		t.Errorf("truncated body: %v", err)
	}
	long.Reset(strings.Repeat("x", 100_000))
	var budgetErr *BudgetError
	if _, err := ReadBody(long, -1, 1<<20, budget); !errors.As(err, &budgetErr) || budgetErr.Size != budget.Size {
		t.Errorf("budget exhausted: %v", err)
	}
	broken := errors.New("reset")
	if _, err := ReadBody(io.MultiReader(strings.NewReader("xx"), iotest.ErrReader(broken)), -1, 10_000, budget); err != broken {
		t.Errorf("connection reset: %v", err)
	}
	if budget.used != 0 {
		t.Errorf("%d bytes of the budget are still used", budget.used)
	}
}

// TestLimitedReader checks that reading fails at the allowance, and goes on after a new one.
func TestLimitedReader(t *testing.T) {
	r := &LimitedReader{Reader: strings.NewReader("0123456789"), Subject: "head"}
	r.Allow(4)
	got, err := io.ReadAll(r)
	var sizeErr *SizeError
	if string(got) != "0123" || !errors.As(err, &sizeErr) || sizeErr.Error() != "head exceeds 4 bytes" {
		t.Errorf("%q, %v", got, err)
	}
	r.Allow(6)
	if got, err := io.ReadAll(io.LimitReader(r, 6)); string(got) != "456789" || err != nil {
		t.Errorf("%q, %v", got, err)
	}
}
