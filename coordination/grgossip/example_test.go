package grgossip_test

import (
	"fmt"

	"geraniumrouter/coordination/grgossip"
)

// A change is pushed; a delayed message with an older version has no effect.
func ExampleMap() {
	a, b := grgossip.Map[string]{PushRounds: 1}, grgossip.Map[string]{PushRounds: 1}
	a.Put(0, grgossip.Item[string]{Key: "preset", Version: 1, Value: "ordinary"})
	delayed := a.Push()
	a.Put(0, grgossip.Item[string]{Key: "preset", Version: 2, Value: "peak"})
	b.Receive(0, a.Push())
	b.Receive(0, delayed)
	item, _ := b.Get("preset")
	fmt.Println(item.Value, a.Digest() == b.Digest())
	// Output: peak true
}
