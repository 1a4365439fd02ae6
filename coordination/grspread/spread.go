// Package grspread keeps a map of versioned items equal on all instances. A
// change is pushed at once to a few others, which push it on; digests carried
// on every message find what got lost, and the difference alone is sent again.
//
// A Map is a pure state machine. An item is only ever replaced by one of a
// higher version, so that late and repeated messages change nothing:
//
//	items := &grspread.Map[Value]{Rounds: 3}
//	items.Put(now, grspread.Item[Value]{Key: "preset", Version: 7, Value: v})
//	replies := items.Receive(now, message)
package grspread

import (
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grid"
)

// Key names an item.
type Key string

// Version orders the contents of one item. Different contents must have
// different versions.
type Version uint64

// Item is one entry of the map.
type Item[V any] struct {
	Key     Key
	Version Version
	Value   V
}

// buckets is the number of parts whose digests are compared.
const buckets = 64

// Digest summarizes a set of keys and versions.
type Digest uint64

// Listed is a key and version without its value.
type Listed struct {
	Key     Key
	Version Version
}

// Message is what instances tell each other. Fields that are not needed are
// empty.
type Message[V any] struct {
	Digest  Digest    // of the sender's whole map
	Buckets []Digest  // digests of the parts, when the whole differed
	Parts   []uint8   // parts that Listed is about
	Listed  []Listed  // all keys of those parts
	Want    []Key     // items that the sender asks for
	Offers  []Listed  // changes that are sent when they are asked for
	Items   []Item[V] // changes
}

// Map holds the items of one instance. Set the exported fields before use.
type Map[V any] struct {
	Rounds  int                                         // pushes of a change with later messages
	Changed func(now grclock.Millis, old, item Item[V]) // called for each change; may be nil
	// Large tells which items are offered by key and version and sent only where
	// they are asked for, since each reaches an instance on several ways; nil: none.
	Large func(item Item[V]) bool

	// RepairFrom is the time before which maps are not compared: at a start an
	// instance reads for itself most of what it lacks.
	RepairFrom grclock.Millis
	// Mark returns what an item adds to the digests; nil: its version. Instances
	// that read the same from the platform at different times hold it at
	// different versions, which is no reason to tell each other.
	Mark func(item Item[V]) uint64

	items   map[Key]Item[V]
	digests [buckets]Digest
	whole   Digest

	changedAt  grclock.Millis // last change
	repairedAt grclock.Millis // last comparison of parts
	hot        map[Key]int    // pushes left
	fresh      []Key          // changes since the last call of Fresh
	asked      map[Key]asking // offers that were asked for and have not come
}

type asking struct {
	version Version
	at      grclock.Millis
}

// askAgain is how long an offer that was asked for is waited for, before it is
// asked for from another instance.
const askAgain = 300 * grclock.Millisecond

// maxItems bounds the items of one message; the rest follows later.
const maxItems = 512

// maxFresh bounds the changes that are pushed at once or with heartbeats.
const maxFresh = 32

// Get returns the item; ok is false when there is none.
func (m *Map[V]) Get(key Key) (item Item[V], ok bool) {
	item, ok = m.items[key]
	return item, ok
}

// All calls visit for every item, in no particular order.
func (m *Map[V]) All(visit func(item Item[V])) {
	for _, item := range m.items {
		visit(item)
	}
}

// Len returns the number of items.
func (m *Map[V]) Len() int { return len(m.items) }

// Digest summarizes the whole map.
func (m *Map[V]) Digest() Digest { return m.whole }

// Fresh returns a message with the changes since the last call, for pushing
// them at once; ok is false when there is none, or so many that comparing
// digests is cheaper than telling everybody everything.
func (m *Map[V]) Fresh() (message Message[V], ok bool) {
	fresh := m.fresh
	m.fresh = m.fresh[:0]
	if len(fresh) == 0 || len(fresh) > maxFresh && m.Large == nil {
		return message, false
	}
	message.Digest = m.whole
	for _, key := range fresh[:min(len(fresh), maxItems)] {
		m.push(&message, m.items[key])
	}
	return message, true
}

// push adds an item to a message, or the offer of a large one.
func (m *Map[V]) push(message *Message[V], item Item[V]) {
	if m.Large != nil && m.Large(item) {
		message.Offers = append(message.Offers, Listed{item.Key, item.Version})
		return
	}
	message.Items = append(message.Items, item)
}

// Put takes an item if its version is higher than the one held, and reports
// whether it did. The change is then pushed with the next messages.
func (m *Map[V]) Put(now grclock.Millis, item Item[V]) bool {
	if !m.Learn(now, item) {
		return false
	}
	if len(m.hot) < maxFresh {
		m.hot[item.Key] = max(m.Rounds, 1)
	}
	m.fresh = append(m.fresh, item.Key)
	return true
}

// Learn takes an item like Put, but does not push it: the others learn it from
// the same source, and digests find those that do not.
func (m *Map[V]) Learn(now grclock.Millis, item Item[V]) bool {
	if m.items == nil {
		m.items = make(map[Key]Item[V])
		m.hot = make(map[Key]int)
	}
	old, held := m.items[item.Key]
	if held && item.Version <= old.Version {
		return false
	}
	part := partOf(item.Key)
	change := m.digestOf(item)
	if held {
		change ^= m.digestOf(old)
	}
	m.items[item.Key] = item
	m.changedAt = now
	m.digests[part] ^= change
	m.whole ^= change
	if m.Changed != nil {
		m.Changed(now, old, item)
	}
	return true
}

// Push returns the message for a heartbeat, with the changes of late.
func (m *Map[V]) Push() Message[V] {
	message := Message[V]{Digest: m.whole}
	for key := range m.hot {
		if len(message.Items) >= maxItems {
			break
		}
		m.push(&message, m.items[key])
	}
	return message
}

// Pushed notes that a round of pushes was sent.
func (m *Map[V]) Pushed() {
	for key, left := range m.hot {
		if left <= 1 {
			delete(m.hot, key)
			continue
		}
		m.hot[key] = left - 1
	}
}

// Receive takes a message and returns the answer to its sender; ok is false
// when nothing needs to be said.
func (m *Map[V]) Receive(now grclock.Millis, got Message[V]) (answer Message[V], ok bool) {
	for _, item := range got.Items {
		m.take(now, item)
	}
	answer.Digest = m.whole
	m.supply(got.Want, &answer)
	m.ask(now, got.Offers, &answer)
	switch {
	case len(got.Parts) > 0:
		m.compareListed(&got, &answer)
	case len(got.Buckets) == buckets:
		m.listDifferent(got.Buckets, &answer)
	case got.Digest != m.whole && len(got.Want) == 0 && m.mayRepair(now):
		m.repairedAt = now
		answer.Buckets = append(answer.Buckets, m.digests[:]...)
	}
	return answer, len(answer.Items)+len(answer.Buckets)+len(answer.Parts)+len(answer.Want) > 0
}

// take takes an item of another instance. A large one that was not offered was
// found by comparing digests: it is no news to the others.
func (m *Map[V]) take(now grclock.Millis, item Item[V]) {
	_, offered := m.asked[item.Key]
	delete(m.asked, item.Key)
	if m.Large != nil && m.Large(item) && !offered {
		m.Learn(now, item)
		return
	}
	m.Put(now, item)
}

// ask asks for the offers that are newer than what is held, each from one
// instance at a time.
func (m *Map[V]) ask(now grclock.Millis, offers []Listed, answer *Message[V]) {
	for _, o := range offers {
		if own, held := m.items[o.Key]; held && own.Version >= o.Version {
			continue
		}
		if a, waiting := m.asked[o.Key]; waiting && a.version >= o.Version && now-a.at < askAgain {
			continue
		}
		if m.asked == nil {
			m.asked = make(map[Key]asking)
		}
		m.asked[o.Key] = asking{o.Version, now}
		answer.Want = append(answer.Want, o.Key)
	}
}

// Pauses before maps that differ are compared part by part.
const (
	quietFor    = grclock.Second     // after a change: it may still be on its way
	repairEvery = 2 * grclock.Second // however often there are changes
)

// mayRepair reports whether a difference is likely to last. Right after a change
// maps differ for as long as its pushes take, and comparing them would cost far
// more than the change.
func (m *Map[V]) mayRepair(now grclock.Millis) bool {
	if now < m.RepairFrom {
		return false
	}
	return now-m.changedAt >= quietFor || now-m.repairedAt >= repairEvery
}

// listDifferent lists the keys of the parts whose digests differ.
func (m *Map[V]) listDifferent(theirs []Digest, answer *Message[V]) {
	var different [buckets]bool
	for part := range theirs {
		if theirs[part] != m.digests[part] {
			different[part] = true
			answer.Parts = append(answer.Parts, uint8(part))
		}
	}
	for key, item := range m.items {
		if different[partOf(key)] {
			answer.Listed = append(answer.Listed, Listed{key, item.Version})
		}
	}
}

// compareListed sends what is newer here and asks for what is newer there.
func (m *Map[V]) compareListed(got *Message[V], answer *Message[V]) {
	theirs := make(map[Key]Version, len(got.Listed))
	for _, l := range got.Listed {
		theirs[l.Key] = l.Version
		if own, held := m.items[l.Key]; !held || own.Version < l.Version {
			answer.Want = append(answer.Want, l.Key)
		}
	}
	var asked [buckets]bool
	for _, part := range got.Parts {
		asked[part%buckets] = true
	}
	for key, item := range m.items {
		if len(answer.Items) >= maxItems {
			return
		}
		if version, listed := theirs[key]; asked[partOf(key)] && (!listed || version < item.Version) {
			answer.Items = append(answer.Items, item)
		}
	}
}

func (m *Map[V]) supply(want []Key, answer *Message[V]) {
	for _, key := range want {
		if item, held := m.items[key]; held && len(answer.Items) < maxItems {
			answer.Items = append(answer.Items, item)
		}
	}
}

func partOf(key Key) int { return int(grid.Hash(key) % buckets) }

func (m *Map[V]) digestOf(item Item[V]) Digest {
	mark := uint64(item.Version)
	if m.Mark != nil {
		mark = m.Mark(item)
	}
	return Digest(grid.Mix(grid.Hash(item.Key) ^ grid.Mix(mark+1)))
}
