package grcluster

import (
	"slices"
	"testing"

	"geraniumrouter/coordination/grconnlimit"
	"geraniumrouter/coordination/grgossip"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grident"
)

func memberItem(id grident.InstanceID, capacity grident.Millicores) Item {
	member := Member{Member: grconnlimit.Member{ID: id, Incarnation: 1}, PeerAddress: grident.Address(id), Capacity: capacity}
	return Item{Key: memberKey(id), Version: versionOf(1, 0, Live), Value: Value{Kind: MemberKind, Member: member}}
}

// TestCapacityLostOnTheWay guards against instances that disagree on a capacity for good, after
// an older build passed on a description without it under the same version.
func TestCapacityLostOnTheWay(t *testing.T) {
	c, out := newViewCluster("a")
	c.Self.Capacity = 192
	c.runStep(0, out, func() { c.publishSelf(0) })
	var items []Item
	for _, id := range []grident.InstanceID{"b", "d", "e", "f", "g", "h", "i"} {
		items = append(items, memberItem(id, 0))
	}
	items = append(items, memberItem("known", 800))
	c.Receive(0, Message{Items: grgossip.Message[Value]{Items: items}}, out)
	asked := make(map[grident.Address]bool)
	for now := grclock.Millis(0); now < 30*grclock.Second; now += HeartbeatInterval {
		out.Reset()
		c.Turn(now)
		c.Tick(now, out)
		for _, m := range out.Messages {
			asked[m.To] = true
			answer := Message{From: grconnlimit.Member{ID: grident.InstanceID(m.To), Incarnation: 1}, Capacity: 448}
			switch m.To {
			case "known":
				answer.Capacity = 800
			case "h": // Of an older build.
				answer.Capacity = 0
			case "i": // Another run.
				answer.From.Incarnation = 2
			}
			c.Acknowledged(now, now, answer.From.ID)
			c.LearnCapacity(&answer, out)
		}
	}
	c.membersStale = true
	for _, m := range c.Members() {
		want := grident.Millicores(448)
		switch m.ID {
		case "a":
			want = 192
		case "known":
			want = 800
		case "h", "i":
			want = 0
		}
		if m.Capacity != want {
			t.Errorf("member %s: %d millicores, want %d; asked %v", m.ID, m.Capacity, want, asked)
		}
	}
}

// TestCapacityAskedOnce guards against heartbeats without end to members that know no capacity,
// and against those of an instance that does not use capacities.
func TestCapacityAskedOnce(t *testing.T) {
	c, out := newViewCluster("a")
	c.Receive(0, Message{Items: grgossip.Message[Value]{Items: []Item{memberItem("b", 0)}}}, out)
	if _, ok := c.memberToAsk(); ok {
		t.Error("an instance without a capacity asks for that of others")
	}
	c.Self.Capacity = 192
	if m, ok := c.memberToAsk(); !ok || m.ID != "b" {
		t.Errorf("asks %v, want b", m.ID)
	}
	out.Reset()
	from := grconnlimit.Member{ID: "b", Incarnation: 1}
	c.LearnCapacity(&Message{From: from}, out)
	if _, ok := c.memberToAsk(); ok || out.MembersChanged {
		t.Errorf("asks again %v, members changed %v", ok, out.MembersChanged)
	}
	c.LearnCapacity(&Message{From: from, Capacity: 800}, out)
	i := slices.IndexFunc(c.Members(), func(m Member) bool { return m.ID == "b" })
	if c.Members()[i].Capacity != 800 || !out.MembersChanged {
		t.Errorf("member %+v, members changed %v", c.Members()[i], out.MembersChanged)
	}
}
