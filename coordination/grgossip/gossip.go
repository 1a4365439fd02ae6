// Package grgossip replicates a map of versioned items to all instances by gossip
// with anti-entropy. A change is pushed immediately to a few instances, which forward
// it. Every message carries a digest; if digests differ, a push was lost and only the
// differing items are sent again.
//
// A Map is a pure state machine. An item is only replaced by one of a higher version,
// so late and repeated messages have no effect:
//
//	items := &grgossip.Map[Value]{PushRounds: 3}
//	items.Put(now, grgossip.Item[Value]{Key: "preset", Version: 7, Value: v})
//	reply, ok := items.Receive(now, message)
package grgossip

import (
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grident"
)

// Key identifies an item.
type Key string

// Version orders the values of one item. Different values must have different
// versions.
type Version uint64

// Item is one entry of the map.
type Item[V any] struct {
	Key     Key
	Version Version
	Value   V
}

// bucketCount is the number of buckets into which keys are hashed; digests are
// compared by bucket.
const bucketCount = 64

// Digest is a hash of a set of items, by key and version (or DigestInput), independent
// of their order.
type Digest uint64

// KeyVersion is a key and version without its value.
type KeyVersion struct {
	Key     Key
	Version Version
}

// Message is a message between two instances. Unused fields are empty.
type Message[V any] struct {
	Digest        Digest       // of the sender's whole map
	BucketDigests []Digest     // digest of each bucket, after the digests of the whole maps differed
	BucketIndexes []uint8      // indexes of the buckets that Listed covers
	Listed        []KeyVersion // all keys of these buckets
	Requested     []Key        // items that the sender requests
	Advertised    []KeyVersion // advertised changes, sent on request
	Items         []Item[V]    // changes
	CompareNow    bool         // set on receipt: compare at once, though changes may not have settled
}

// Map holds the items of one instance. Set the exported fields before use.
type Map[V any] struct {
	PushRounds int                                         // number of rounds of Push that repeat a change
	OnChange   func(now grclock.Millis, old, item Item[V]) // called for each change; may be nil
	// IsLarge reports whether an item is only advertised by key and version and sent on
	// request, because a push reaches an instance from several others; nil: none is.
	IsLarge func(item Item[V]) bool

	// CompareFrom is the time before which maps are not compared, because a starting
	// instance reads most of what it lacks from the platform itself.
	CompareFrom grclock.Millis
	// DigestInput returns an item's contribution to the digests; nil: its version.
	// Instances that read the same value from the platform at different times hold it
	// at different versions and need not exchange it.
	DigestInput func(item Item[V]) uint64

	items         map[Key]Item[V]
	bucketDigests [bucketCount]Digest
	mapDigest     Digest

	changedAt  grclock.Millis // last change
	comparedAt grclock.Millis // last comparison of buckets
	pushesLeft map[Key]int    // number of pushes left
	recent     []Key          // keys changed since the last call of TakeRecent
	// requested holds the advertised items that were requested and have not arrived; items
	// requested after comparing digests are not included.
	requested map[Key]pendingRequest
}

type pendingRequest struct {
	version Version
	at      grclock.Millis
}

// requestTimeout is how long to wait for a requested item before it is requested from
// another instance.
const requestTimeout = 300 * grclock.Millisecond

// maxItems bounds the number of items in one message; later messages carry the rest.
const maxItems = 512

// maxPushed bounds the number of changes that are pushed immediately or with
// heartbeats.
const maxPushed = 32

// Get returns the item of a key; ok is false if there is none.
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

// Digest returns the digest of the whole map.
func (m *Map[V]) Digest() Digest { return m.mapDigest }

// TakeRecent returns a message with the changes since the last call, to be pushed
// immediately. ok is false if there are none, or so many that comparing digests is
// cheaper than pushing them all to every instance.
func (m *Map[V]) TakeRecent() (message Message[V], ok bool) {
	keys := m.recent
	m.recent = m.recent[:0]
	if len(keys) == 0 || len(keys) > maxPushed && m.IsLarge == nil {
		return message, false
	}
	message.Digest = m.mapDigest
	for _, key := range keys[:min(len(keys), maxItems)] {
		m.appendChange(&message, m.items[key])
	}
	return message, true
}

// appendChange appends an item to a message, or the advertisement of a large one.
func (m *Map[V]) appendChange(message *Message[V], item Item[V]) {
	if m.IsLarge != nil && m.IsLarge(item) {
		message.Advertised = append(message.Advertised, KeyVersion{item.Key, item.Version})
		return
	}
	message.Items = append(message.Items, item)
}

// Put stores an item if its version is higher than that of the one held, and reports
// whether it did. The change is then pushed with the next messages.
func (m *Map[V]) Put(now grclock.Millis, item Item[V]) bool {
	if !m.PutWithoutPush(now, item) {
		return false
	}
	if len(m.pushesLeft) < maxPushed {
		m.pushesLeft[item.Key] = max(m.PushRounds, 1)
	}
	m.recent = append(m.recent, item.Key)
	return true
}

// PutWithoutPush stores an item like Put but does not push it: the other instances
// read it from the same source, and comparing digests finds those that did not.
func (m *Map[V]) PutWithoutPush(now grclock.Millis, item Item[V]) bool {
	if m.items == nil {
		m.items = make(map[Key]Item[V])
		m.pushesLeft = make(map[Key]int)
	}
	old, held := m.items[item.Key]
	if held && item.Version <= old.Version {
		return false
	}
	bucket := bucketOf(item.Key)
	change := m.digestOf(item)
	if held {
		change ^= m.digestOf(old)
	}
	m.items[item.Key] = item
	m.changedAt = now
	m.bucketDigests[bucket] ^= change
	m.mapDigest ^= change
	if m.OnChange != nil {
		m.OnChange(now, old, item)
	}
	return true
}

// Push returns the message for a heartbeat, with the recent changes.
func (m *Map[V]) Push() Message[V] {
	message := Message[V]{Digest: m.mapDigest}
	for key := range m.pushesLeft {
		if len(message.Items) >= maxItems {
			break
		}
		m.appendChange(&message, m.items[key])
	}
	return message
}

// PushSent records that the message of Push was sent to all recipients of one round.
func (m *Map[V]) PushSent() {
	for key, left := range m.pushesLeft {
		if left <= 1 {
			delete(m.pushesLeft, key)
			continue
		}
		m.pushesLeft[key] = left - 1
	}
}

// Receive processes a message and returns the reply to its sender; ok is false if no
// reply is needed.
func (m *Map[V]) Receive(now grclock.Millis, got Message[V]) (answer Message[V], ok bool) {
	for _, item := range got.Items {
		m.storeReceived(now, item)
	}
	answer.Digest = m.mapDigest
	m.appendRequested(got.Requested, &answer)
	m.requestAdvertised(now, got.Advertised, &answer)
	switch {
	case len(got.BucketIndexes) > 0:
		m.compareListed(&got, &answer)
	case len(got.BucketDigests) == bucketCount:
		m.listDifferingBuckets(got.BucketDigests, &answer)
	case got.Digest != m.mapDigest && len(got.Requested) == 0 && (got.CompareNow || m.shouldCompare(now)):
		m.comparedAt = now
		answer.BucketDigests = append(answer.BucketDigests, m.bucketDigests[:]...)
	}
	return answer, len(answer.Items)+len(answer.BucketDigests)+len(answer.BucketIndexes)+len(answer.Requested) > 0
}

// storeReceived stores an item from another instance. A large item that was not
// advertised was found by comparing digests; it is not a recent change and is not
// pushed on.
func (m *Map[V]) storeReceived(now grclock.Millis, item Item[V]) {
	_, wasAdvertised := m.requested[item.Key]
	delete(m.requested, item.Key)
	if m.IsLarge != nil && m.IsLarge(item) && !wasAdvertised {
		m.PutWithoutPush(now, item)
		return
	}
	m.Put(now, item)
}

// requestAdvertised requests the advertised items that are newer than those held, each
// from one instance at a time.
func (m *Map[V]) requestAdvertised(now grclock.Millis, advertised []KeyVersion, answer *Message[V]) {
	for _, a := range advertised {
		if own, held := m.items[a.Key]; held && own.Version >= a.Version {
			continue
		}
		if pending, waiting := m.requested[a.Key]; waiting && pending.version >= a.Version && now-pending.at < requestTimeout {
			continue
		}
		if m.requested == nil {
			m.requested = make(map[Key]pendingRequest)
		}
		m.requested[a.Key] = pendingRequest{a.Version, now}
		answer.Requested = append(answer.Requested, a.Key)
	}
}

// Waiting times before maps that differ are compared bucket by bucket.
const (
	settleTime      = grclock.Second     // after a change, whose pushes may still be in flight
	compareInterval = 2 * grclock.Second // after the last comparison, however frequent changes are
)

// shouldCompare reports whether a difference is likely to persist. Right after a
// change, maps differ until its pushes have arrived, and comparing them would cost far
// more than the change itself.
func (m *Map[V]) shouldCompare(now grclock.Millis) bool {
	if now < m.CompareFrom {
		return false
	}
	return now-m.changedAt >= settleTime || now-m.comparedAt >= compareInterval
}

// listDifferingBuckets lists the keys of the buckets whose digests differ.
func (m *Map[V]) listDifferingBuckets(theirs []Digest, answer *Message[V]) {
	var differs [bucketCount]bool
	for bucket := range theirs {
		if theirs[bucket] != m.bucketDigests[bucket] {
			differs[bucket] = true
			answer.BucketIndexes = append(answer.BucketIndexes, uint8(bucket))
		}
	}
	for key, item := range m.items {
		if differs[bucketOf(key)] {
			answer.Listed = append(answer.Listed, KeyVersion{key, item.Version})
		}
	}
}

// compareListed replies with the items that are newer here and requests those that
// are newer at the sender.
func (m *Map[V]) compareListed(got *Message[V], answer *Message[V]) {
	theirs := make(map[Key]Version, len(got.Listed))
	for _, l := range got.Listed {
		theirs[l.Key] = l.Version
		if own, held := m.items[l.Key]; !held || own.Version < l.Version {
			answer.Requested = append(answer.Requested, l.Key)
		}
	}
	var inScope [bucketCount]bool
	for _, bucket := range got.BucketIndexes {
		inScope[bucket%bucketCount] = true
	}
	for key, item := range m.items {
		if len(answer.Items) >= maxItems {
			return
		}
		if version, listed := theirs[key]; inScope[bucketOf(key)] && (!listed || version < item.Version) {
			answer.Items = append(answer.Items, item)
		}
	}
}

func (m *Map[V]) appendRequested(requested []Key, answer *Message[V]) {
	for _, key := range requested {
		if item, held := m.items[key]; held && len(answer.Items) < maxItems {
			answer.Items = append(answer.Items, item)
		}
	}
}

func bucketOf(key Key) int { return int(grident.Hash(key) % bucketCount) }

func (m *Map[V]) digestOf(item Item[V]) Digest {
	input := uint64(item.Version)
	if m.DigestInput != nil {
		input = m.DigestInput(item)
	}
	return Digest(grident.Mix(grident.Hash(item.Key) ^ grident.Mix(input+1)))
}
