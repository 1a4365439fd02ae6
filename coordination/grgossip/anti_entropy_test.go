package grgossip

import (
	"fmt"
	"testing"

	"geraniumrouter/state/grclock"
)

// exchange delivers a message and the replies to it until there is no further reply.
// It returns the number of messages.
func exchange(now grclock.Millis, from, to *Map[int], message Message[int]) (messages int) {
	for ok := true; ok; messages++ {
		message, ok = to.Receive(now, message)
		from, to = to, from
	}
	return messages
}

// TestCompareAfterLostPushes checks that two maps become equal by comparing digests
// after all pushes in both directions were lost.
func TestCompareAfterLostPushes(t *testing.T) {
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
		now += 2 * compareInterval
		exchange(now, &a, &b, Message[int]{Digest: a.Digest()})
	}
	if a.Digest() != b.Digest() || a.Len() != 900 || b.Len() != 900 {
		t.Errorf("%d and %d items after %d rounds, want 900", a.Len(), b.Len(), rounds)
	}
	a.All(func(item Item[int]) {
		if other, _ := b.Get(item.Key); other != item {
			t.Errorf("items differ: %v and %v", item, other)
		}
	})
}

// TestEqualContentsAtDifferentVersions checks that maps with equal contents at different
// versions exchange no items if DigestInput ignores the version, and that items stored
// by PutWithoutPush are not pushed.
func TestEqualContentsAtDifferentVersions(t *testing.T) {
	byValue := func(item Item[int]) uint64 { return uint64(item.Value) }
	a, b := Map[int]{DigestInput: byValue}, Map[int]{DigestInput: byValue}
	for i := range 300 {
		key := Key(fmt.Sprint("k", i))
		a.PutWithoutPush(0, Item[int]{Key: key, Version: Version(100 + i), Value: i})
		b.PutWithoutPush(0, Item[int]{Key: key, Version: Version(900 + i), Value: i})
	}
	if _, ok := a.TakeRecent(); ok {
		t.Error("an item stored by PutWithoutPush was pushed")
	}
	if steps := exchange(compareInterval, &a, &b, Message[int]{Digest: a.Digest()}); steps > 1 {
		t.Errorf("%d messages between maps with equal contents, want 1", steps)
	}
	a.Put(compareInterval, Item[int]{Key: "k7", Version: 2000, Value: -1})
	exchange(3*compareInterval, &a, &b, Message[int]{Digest: a.Digest()})
	if item, _ := b.Get("k7"); item.Value != -1 {
		t.Errorf("item after a change: %v", item)
	}
}
