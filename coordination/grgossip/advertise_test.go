package grgossip

import "testing"

// TestAdvertisedItemIsRequestedOnce checks that a large item advertised several times
// is requested only once, and again if it has not arrived within the request timeout.
func TestAdvertisedItemIsRequestedOnce(t *testing.T) {
	large := func(item Item[string]) bool { return len(item.Value) > 8 }
	sender := &Map[string]{PushRounds: 3, IsLarge: large}
	receiver := &Map[string]{PushRounds: 3, IsLarge: large}
	sender.Put(0, Item[string]{Key: "table", Version: 7, Value: "a value of some length"})
	push, _ := sender.TakeRecent()
	if len(push.Items) != 0 || len(push.Advertised) != 1 {
		t.Fatalf("push: %+v, want one advertisement and no items", push)
	}
	first, _ := receiver.Receive(10, push)
	if len(first.Requested) != 1 {
		t.Fatalf("reply to the first advertisement: %+v", first)
	}
	if second, _ := receiver.Receive(11, push); len(second.Requested) != 0 {
		t.Errorf("reply to the second advertisement: %+v", second)
	}
	if later, _ := receiver.Receive(10+requestTimeout, push); len(later.Requested) != 1 {
		t.Errorf("reply to an advertisement after the request timed out: %+v", later)
	}
	sent, ok := sender.Receive(12, first)
	if !ok || len(sent.Items) != 1 {
		t.Fatalf("reply to the request: %+v", sent)
	}
	receiver.Receive(13, sent)
	if item, held := receiver.Get("table"); !held || item.Version != 7 {
		t.Errorf("item held: %v, %+v", held, item)
	}
	if after, _ := receiver.Receive(2*requestTimeout, push); len(after.Requested) != 0 {
		t.Errorf("reply to an advertisement of an item already held: %+v", after)
	}
}
