package grcluster

import (
	"slices"

	"geraniumrouter/coordination/grgossip"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grident"
)

// Introduction tells that a message describes its sender to an instance that may not know it.
type Introduction uint8

// The introductions.
const (
	NoIntroduction Introduction = iota
	// Introduces is sent to each instance by the one that it describes, so it is not passed on.
	// It is answered with a description of the receiver.
	Introduces
	// AnswersIntroduction is that answer.
	AnswersIntroduction
)

// maxIntroductions bounds the instances to which an instance introduces itself at once. In
// larger deployments its description is passed on by those that get it.
const maxIntroductions = 128

// AddSeeds adds peers to contact: all instances that are registered at the platform. The
// instance introduces itself to those that it does not know: after a restart of all instances
// nobody knows anybody until then.
func (c *Cluster) AddSeeds(now grclock.Millis, seeds []grident.Address, out *Output) {
	c.seedsRead = true
	for _, s := range seeds {
		if !slices.Contains(c.Seeds, s) {
			c.Seeds = append(c.Seeds, s)
		}
	}
	c.runStep(now, out, func() { c.introduce(now, c.unknownSeeds()) })
}

// introduce sends the description of this instance to others, from a random one on if they are
// too many.
func (c *Cluster) introduce(now grclock.Millis, to []grident.Address) {
	item, ok := c.items.Get(memberKey(c.Self.ID))
	if !ok || len(to) == 0 {
		return
	}
	message := c.newMessage(now)
	message.Items = grgossip.Message[Value]{Digest: c.items.Digest(), Items: []Item{item}}
	if len(to) <= maxIntroductions {
		message.Introduction = Introduces
	}
	first := c.Random.IntN(len(to))
	for i := range min(len(to), maxIntroductions) {
		c.send(to[(first+i)%len(to)], 0, message)
	}
}

// receiveIntroduction stores the description of the sender without passing it on.
func (c *Cluster) receiveIntroduction(now grclock.Millis, got *Message) {
	for _, item := range got.Items.Items {
		if item.Value.Kind == MemberKind && item.Value.Member.ID == got.From.ID {
			c.items.PutWithoutPush(now, item)
		}
	}
	got.Items.Items = nil
}

// unknownSeeds returns the seeds that are no known members.
func (c *Cluster) unknownSeeds() []grident.Address {
	known := map[grident.Address]bool{c.Self.PeerAddress: true}
	for _, m := range c.Members() {
		known[m.PeerAddress] = true
	}
	return slices.DeleteFunc(slices.Clone(c.Seeds), func(s grident.Address) bool { return known[s] })
}

// knownAddresses returns the addresses of the other members and of the seeds.
func (c *Cluster) knownAddresses() []grident.Address {
	list := c.unknownSeeds()
	for _, m := range c.Members() {
		if m.ID != c.Self.ID {
			list = append(list, m.PeerAddress)
		}
	}
	return list
}
