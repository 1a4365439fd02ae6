package grcluster

import (
	"geraniumrouter/state/grident"
)

// During a rolling release an instance of an older build passes member descriptions on without
// the capacity, under the same version. Instances that got them so would choose other owners
// for as long as that version lasts. Therefore each message states the capacity of its sender,
// and an instance sends a heartbeat to the members whose capacity it does not know.

// statedCapacity is what a run of an instance stated itself; 0 if it stated none.
type statedCapacity struct {
	run      grident.Incarnation
	capacity grident.Millicores
}

// LearnCapacity records the capacity that the sender of a message or answer states.
func (c *Cluster) LearnCapacity(message *Message, out *Output) {
	from := message.From
	now := statedCapacity{from.Incarnation, max(message.Capacity, 0)}
	if from.ID == c.Self.ID || c.stated[from.ID] == now || from.Incarnation < c.stated[from.ID].run {
		return
	}
	c.stated[from.ID] = now
	item, ok := c.items.Get(memberKey(from.ID))
	if m := item.Value.Member; ok && m.Incarnation == from.Incarnation && m.Capacity != c.withCapacity(m).Capacity {
		c.membersStale, out.MembersChanged = true, true
	}
}

// withCapacity returns a member with the capacity that it stated itself, if its description
// has none.
func (c *Cluster) withCapacity(m Member) Member {
	if s := c.stated[m.ID]; m.Capacity == 0 && s.run == m.Incarnation {
		m.Capacity = s.capacity
	}
	return m
}

// memberToAsk returns a random live member whose capacity is not known and that has not
// answered this instance. ok is false if there is none, or capacities are not used.
func (c *Cluster) memberToAsk() (m Member, ok bool) {
	if c.Self.Capacity == 0 {
		return Member{}, false
	}
	var list []Member
	for _, m := range c.Members() {
		if m.Capacity == 0 && !c.isSelf(m) && c.stateOf(m.ID) == Live && c.stated[m.ID] != (statedCapacity{run: m.Incarnation}) {
			list = append(list, m)
		}
	}
	if len(list) == 0 {
		return Member{}, false
	}
	return list[c.Random.IntN(len(list))], true
}
