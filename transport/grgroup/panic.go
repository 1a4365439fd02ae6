package grgroup

import (
	"fmt"
	"runtime/debug"
)

// PanicError is a recovered panic with its stack trace.
type PanicError struct {
	Value any
	Stack string
}

// Error implements error.
func (p *PanicError) Error() string { return fmt.Sprintf("panic: %v", p.Value) }

// Catch runs a function and returns its error, or a *PanicError if it panics. Use it only for
// work whose state is discarded afterwards, such as a connection or a call.
func Catch(fn func() error) (err error) {
	defer func() {
		if value := recover(); value != nil {
			err = &PanicError{Value: value, Stack: string(debug.Stack())}
		}
	}()
	return fn()
}
