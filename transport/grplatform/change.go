package grplatform

import (
	"context"

	"geraniumrouter/coordination/grchange"
	"geraniumrouter/state/grid"
)

// Codec maps an object's value to the domain and back.
type Codec[T any] struct {
	Decode func(data []byte) (T, error) // data is empty where there is no object
	Encode func(value T) []byte
}

// Run carries out the steps of a change on the object and returns its end.
func Run[T any](ctx context.Context, c *Client, key string, codec Codec[T], change *grchange.Change[T]) grchange.Step[T] {
	step := change.Start()
	for step.Kind != grchange.Finish {
		if step.Pause > 0 && !c.Clock.Sleep(ctx, step.Pause) {
			change.Deadline = 0
		}
		if step.Kind == grchange.Read {
			step = readStep(ctx, c, key, codec, change)
			continue
		}
		version, err := c.Put(ctx, key, step.Version, codec.Encode(step.Next))
		step = change.Wrote(c.Clock.Now(), WriteEndOf(err), version)
	}
	return step
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
