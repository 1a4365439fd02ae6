package grplatform

import (
	"context"
	"errors"

	"geraniumrouter/coordination/grchange"
	"geraniumrouter/state/grid"
)

// Codec maps an object's value to the domain and back.
type Codec[T any] struct {
	Decode func(data []byte) (T, error) // data is empty where there is no object
	Encode func(value T) []byte
}

// Remembered is an object as it was after an earlier change.
type Remembered[T any] struct {
	Value   T
	Version grid.Revision // 0 for none
}

// Run carries out the steps of a change on the object and returns its end.
func Run[T any](ctx context.Context, c *Client, key string, codec Codec[T], change *grchange.Change[T]) grchange.Step[T] {
	return RunFrom(ctx, c, key, codec, change, Remembered[T]{})
}

// RunFrom is Run with an object that is remembered, which saves reading it.
func RunFrom[T any](ctx context.Context, c *Client, key string, codec Codec[T], change *grchange.Change[T], from Remembered[T]) grchange.Step[T] {
	step := change.Start()
	if from.Version > 0 {
		step = change.StartFrom(c.Clock.Now(), from.Value, from.Version)
	}
	for step.Kind != grchange.Finish {
		if step.Pause > 0 && !c.Clock.Sleep(ctx, step.Pause) {
			change.Deadline = 0
		}
		if step.Kind == grchange.Read {
			step = readStep(ctx, c, key, codec, change)
			continue
		}
		step = writeStep(ctx, c, key, codec, change, step)
	}
	return step
}

func writeStep[T any](ctx context.Context, c *Client, key string, codec Codec[T], change *grchange.Change[T], step grchange.Step[T]) grchange.Step[T] {
	version, err := c.Put(ctx, key, step.Version, codec.Encode(step.Next))
	next := change.Wrote(c.Clock.Now(), WriteEndOf(err), version)
	var outdated *Outdated
	if !errors.As(err, &outdated) {
		return next
	}
	// The refusal holds the object as it is now, which saves reading it.
	current, decodeErr := codec.Decode(outdated.Current.Value)
	if decodeErr != nil {
		return next
	}
	return change.Got(c.Clock.Now(), current, grid.Revision(outdated.Current.Version))
}

func readStep[T any](ctx context.Context, c *Client, key string, codec Codec[T], change *grchange.Change[T]) grchange.Step[T] {
	object, err := c.Get(ctx, key)
	if err != nil {
		return change.ReadFailed(c.Clock.Now())
	}
	value, err := codec.Decode(object.Value)
	if err != nil {
		return change.ReadFailed(c.Clock.Now())
	}
	return change.Got(c.Clock.Now(), value, grid.Revision(object.Version))
}
