// Package grgroup runs goroutines as a group: the first that fails stops the others.
//
//	group := grgroup.New(ctx)
//	group.Start(func(ctx context.Context) error { return serve(ctx) })
//	err := group.Wait()
package grgroup

import (
	"context"
	"sync"
)

// Group is a set of goroutines that are stopped together. It is made by New.
type Group struct {
	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup
	once    sync.Once
	err     error
}

// New returns a group whose goroutines are stopped when ctx is cancelled.
func New(ctx context.Context) *Group {
	ctx, cancel := context.WithCancel(ctx)
	return &Group{ctx: ctx, cancel: cancel}
}

// Context returns a context that is cancelled when the group is stopped.
func (group *Group) Context() context.Context { return group.ctx }

// Start runs a function in a goroutine. The first function that returns an error or
// panics stops the group.
func (group *Group) Start(fn func(ctx context.Context) error) {
	group.running.Add(1)
	go group.run(fn)
}

// Stop cancels the context of the goroutines.
func (group *Group) Stop() { group.cancel() }

// Wait waits until all goroutines have returned, and returns the first error.
func (group *Group) Wait() error {
	group.running.Wait()
	group.cancel()
	return group.err
}

func (group *Group) run(fn func(ctx context.Context) error) {
	defer group.running.Done()
	if err := Catch(func() error { return fn(group.ctx) }); err != nil {
		group.once.Do(func() {
			group.err = err
			group.cancel()
		})
	}
}
