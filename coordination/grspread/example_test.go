package grspread_test

import (
	"fmt"

	"geraniumrouter/coordination/grspread"
)

// A change is pushed; a late message with an older version changes nothing.
func ExampleMap() {
	a, b := grspread.Map[string]{Rounds: 1}, grspread.Map[string]{Rounds: 1}
	a.Put(0, grspread.Item[string]{Key: "preset", Version: 1, Value: "ordinary"})
	late := a.Push()
	a.Put(0, grspread.Item[string]{Key: "preset", Version: 2, Value: "peak"})
	b.Receive(0, a.Push())
	b.Receive(0, late)
	item, _ := b.Get("preset")
	fmt.Println(item.Value, a.Digest() == b.Digest())
	// Output: peak true
}
