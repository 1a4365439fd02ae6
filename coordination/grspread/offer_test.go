package grspread

import "testing"

// TestOffers sends a large item once to an instance that hears of it from
// several, and again when it does not come.
func TestOffers(t *testing.T) {
	large := func(item Item[string]) bool { return len(item.Value) > 8 }
	sender := &Map[string]{Rounds: 3, Large: large}
	receiver := &Map[string]{Rounds: 3, Large: large}
	sender.Put(0, Item[string]{Key: "table", Version: 7, Value: "a value of some length"})
	push, _ := sender.Fresh()
	if len(push.Items) != 0 || len(push.Offers) != 1 {
		t.Fatalf("push %+v", push)
	}
	first, _ := receiver.Receive(10, push)
	if len(first.Want) != 1 {
		t.Fatalf("answer to the first offer: %+v", first)
	}
	if second, _ := receiver.Receive(11, push); len(second.Want) != 0 {
		t.Errorf("answer to the second offer: %+v", second)
	}
	if later, _ := receiver.Receive(10+askAgain, push); len(later.Want) != 1 {
		t.Errorf("answer to an offer after the first did not come: %+v", later)
	}
	sent, ok := sender.Receive(12, first)
	if !ok || len(sent.Items) != 1 {
		t.Fatalf("what was asked for: %+v", sent)
	}
	receiver.Receive(13, sent)
	if item, held := receiver.Get("table"); !held || item.Version != 7 {
		t.Errorf("held %v %+v", held, item)
	}
	if after, _ := receiver.Receive(2*askAgain, push); len(after.Want) != 0 {
		t.Errorf("answer to an offer of what is held: %+v", after)
	}
}
