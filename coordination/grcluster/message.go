package grcluster

import (
	"geraniumrouter/coordination/grconnlimit"
	"geraniumrouter/coordination/grgossip"
	"geraniumrouter/state/grident"
	"geraniumrouter/state/grpreset"
	"geraniumrouter/state/grroutes"
	"geraniumrouter/state/grsnapshot"
)

// Message is a message between two instances.
type Message struct {
	From         grconnlimit.Member
	Load         int                // queries in flight at the sender
	Capacity     grident.Millicores // of the sender
	Introduction Introduction
	// PlatformAway tells that the sender cannot read the list of searchers, or could not until
	// just now: it holds searchers whose entries may have expired meanwhile.
	PlatformAway bool
	View         View // the sender's; only in answers and with AsksView
	AsksView     bool // the sender seeks a newer proof: it wants the receiver's view, and what it lacks of it
	Items        grgossip.Message[Value]
	// GroupItems holds the published connection divisors of the sender's group; nil if the
	// receiver is in another group or there is nothing to send.
	GroupItems *grgossip.Message[Value]
}

// Outgoing is a message with its destination. The reply, if any, must be passed to
// Receive.
type Outgoing struct {
	To          grident.Address
	Incarnation grident.Incarnation // of the member known at this address, or 0
	Message     Message
}

// Output collects the results of a call. Callers reuse it to avoid allocations.
type Output struct {
	Messages         []Outgoing
	ActivePreset     *grpreset.ActivePreset // newly active preset, or nil
	ShardMaps        []*grsnapshot.ShardMap // new shard maps
	RoutingTable     *grroutes.Table        // newly active routing table, or nil
	SearchersChanged bool                   // the searchers or the divisor changed
	MembersChanged   bool                   // the members or their states changed
	SearcherChanges  []SearcherChange       // changes that this instance read from the platform
	RateLimits       []RateLimit            // new rate limits of searchers, those published here included
	Departures       []Departure            // new announcements of searchers, those made here included
	Evacuations      []Evacuation           // failure domains that are evacuated from now on, or no longer
}

// Reset clears all results and keeps the allocated memory.
func (o *Output) Reset() {
	*o = Output{
		Messages: o.Messages[:0], ShardMaps: o.ShardMaps[:0], RateLimits: o.RateLimits[:0],
		SearcherChanges: o.SearcherChanges[:0], Evacuations: o.Evacuations[:0], Departures: o.Departures[:0],
	}
}
