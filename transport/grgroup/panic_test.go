package grgroup

import (
	"context"
	"errors"
	"os"
	"strings"
	"testing"
)

// TestCatch checks that a panic becomes an error with the stack where it occurred.
func TestCatch(t *testing.T) {
	err := Catch(func() error {
		var list []int
		list[len(os.Args)] = 1
		return nil
	})
	var p *PanicError
	if !errors.As(err, &p) || !strings.Contains(p.Error(), "out of range") || !strings.Contains(p.Stack, "TestCatch") {
		t.Errorf("%v", err)
	}
	if err := Catch(func() error { return nil }); err != nil {
		t.Errorf("%v", err)
	}
}

// TestPanicStopsGroup checks that a panic of one function stops the others of the group,
// and that they return normally.
func TestPanicStopsGroup(t *testing.T) {
	group := New(context.Background())
	returned := false
	group.Start(func(ctx context.Context) error {
		<-ctx.Done()
		returned = true
		return nil
	})
	group.Start(func(context.Context) error { panic("test panic") })
	var p *PanicError
	if err := group.Wait(); !errors.As(err, &p) || p.Value != "test panic" || !returned {
		t.Errorf("%v, the other function returned: %v", err, returned)
	}
}
