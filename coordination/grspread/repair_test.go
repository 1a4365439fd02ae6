package grspread

import (
	"fmt"
	"testing"

	"geraniumrouter/state/grclock"
)

// exchange lets a message and its answers go to and fro until nothing is said.
func exchange(now grclock.Millis, from, to *Map[int], message Message[int]) (steps int) {
	for ok := true; ok; steps++ {
		message, ok = to.Receive(now, message)
		from, to = to, from
	}
	return steps
}

// TestRepair brings maps together that lost every push, in either direction.
func TestRepair(t *testing.T) {
	var a, b Map[int]
	for i := range 300 {
		a.Put(0, Item[int]{Key: Key(fmt.Sprint("a", i)), Version: 1, Value: i})
		b.Put(0, Item[int]{Key: Key(fmt.Sprint("b", i)), Version: 1, Value: i})
		a.Put(0, Item[int]{Key: Key(fmt.Sprint("c", i)), Version: Version(1 + i%3), Value: i % 3})
		b.Put(0, Item[int]{Key: Key(fmt.Sprint("c", i)), Version: Version(1 + i%2), Value: i % 2})
	}
	now := grclock.Millis(0)
	rounds := 0
	for ; a.Digest() != b.Digest() && rounds < 10; rounds++ {
		now += 2 * repairEvery
		exchange(now, &a, &b, Message[int]{Digest: a.Digest()})
	}
	if a.Digest() != b.Digest() || a.Len() != 900 || b.Len() != 900 {
		t.Errorf("%d and %d items after %d rounds, want 900", a.Len(), b.Len(), rounds)
	}
	a.All(func(item Item[int]) {
		if other, _ := b.Get(item.Key); other != item {
			t.Errorf("%v and %v", item, other)
		}
	})
}

// TestMark says nothing where instances hold the same at different versions, and
// pushes nothing of what they all read.
func TestMark(t *testing.T) {
	mark := func(item Item[int]) uint64 { return uint64(item.Value) }
	a, b := Map[int]{Mark: mark}, Map[int]{Mark: mark}
	for i := range 300 {
		key := Key(fmt.Sprint("k", i))
		a.Learn(0, Item[int]{Key: key, Version: Version(100 + i), Value: i})
		b.Learn(0, Item[int]{Key: key, Version: Version(900 + i), Value: i})
	}
	if _, ok := a.Fresh(); ok {
		t.Error("what was learned is pushed")
	}
	if steps := exchange(repairEvery, &a, &b, Message[int]{Digest: a.Digest()}); steps > 1 {
		t.Errorf("%d messages between maps that hold the same", steps)
	}
	a.Put(repairEvery, Item[int]{Key: "k7", Version: 2000, Value: -1})
	exchange(3*repairEvery, &a, &b, Message[int]{Digest: a.Digest()})
	if item, _ := b.Get("k7"); item.Value != -1 {
		t.Errorf("%v after a change", item)
	}
}
