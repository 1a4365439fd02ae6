package grplatform

import (
	"context"
	"errors"

	"geraniumrouter/coordination/grcas"
	"geraniumrouter/state/grident"
)

// Codec converts the value of a platform object to a domain type and back.
type Codec[T any] struct {
	Decode func(data []byte) (T, error) // data is empty if the object does not exist
	Encode func(value T) []byte
}

// CachedObject is the cached state of an object after an earlier update.
type CachedObject[T any] struct {
	Value   T
	Version grident.Revision // 0 if nothing is cached
}

// Update executes the steps of a conditional update of the object and returns the last step,
// which holds the outcome.
func Update[T any](ctx context.Context, c *Client, key string, codec Codec[T], update *grcas.Update[T]) grcas.Step[T] {
	return UpdateFrom(ctx, c, key, codec, update, CachedObject[T]{})
}

// UpdateFrom is like Update, but starts from a cached state of the object, which saves the
// first read.
func UpdateFrom[T any](ctx context.Context, c *Client, key string, codec Codec[T], update *grcas.Update[T], cached CachedObject[T]) grcas.Step[T] {
	step := update.Start()
	if cached.Version > 0 {
		step = update.StartFromCached(c.Clock.Now(), cached.Value, cached.Version)
	}
	for step.Kind != grcas.Finish {
		if step.Pause > 0 && !c.Clock.Sleep(ctx, step.Pause) {
			update.Deadline = 0
		}
		if step.Kind == grcas.Read {
			step = readStep(ctx, c, key, codec, update)
			continue
		}
		step = writeStep(ctx, c, key, codec, update, step)
	}
	return step
}

func writeStep[T any](ctx context.Context, c *Client, key string, codec Codec[T], update *grcas.Update[T], step grcas.Step[T]) grcas.Step[T] {
	version, err := c.Put(ctx, key, step.Version, codec.Encode(step.Next))
	next := update.WriteDone(c.Clock.Now(), WriteOutcomeOf(err), version)
	var conflict *ConflictError
	if !errors.As(err, &conflict) {
		return next
	}
	// The conflict response contains the current object, which saves a read.
	current, decodeErr := codec.Decode(conflict.Current.Value)
	if decodeErr != nil {
		return next
	}
	return update.ReadDone(c.Clock.Now(), current, grident.Revision(conflict.Current.Version))
}

func readStep[T any](ctx context.Context, c *Client, key string, codec Codec[T], update *grcas.Update[T]) grcas.Step[T] {
	object, err := c.Get(ctx, key)
	if err != nil {
		return update.ReadFailed(c.Clock.Now())
	}
	value, err := codec.Decode(object.Value)
	if err != nil {
		return update.ReadFailed(c.Clock.Now())
	}
	return update.ReadDone(c.Clock.Now(), value, grident.Revision(object.Version))
}
