package grnode

import (
	"context"
	"net/http"
	"net/url"

	"go.uber.org/zap"

	"geraniumrouter/coordination/grcluster"
	"geraniumrouter/coordination/grrouter"
	"geraniumrouter/coordination/grstat"
	"geraniumrouter/protocol/grwire"
	"geraniumrouter/state/granswer"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grident"
	"geraniumrouter/state/grroutes"
	"geraniumrouter/transport/grpeer"
)

// groupKey identifies a group of shards that another instance delegated.
type groupKey struct {
	from  string
	query uint64
	group int32
}

// delegatedGroup is such a group between its first answer and the remaining partial
// results.
type delegatedGroup struct {
	released bool // the group was released before the call that delegates it was handled
	number   uint64
	results  chan grrouter.Result
	deadline grclock.Millis
	top      int
	fanOut   bool // false: the request is for one service, whose answer is forwarded unchanged
}

// onGather answers a peer's call for the partial results of a group of shards.
func (n *Node) onGather(call grwire.GatherRequest) grwire.GatherAnswer {
	key := groupKey{call.From, call.Query, call.Group}
	switch {
	case call.Release:
		n.releaseGroup(key)
		return grwire.GatherAnswer{}
	case call.RequestRest:
		return n.gatherRemainder(key, call.RestWanted)
	}
	request, err := n.rebuildRequest(&call)
	if err != nil {
		n.Log.Warn("group refused", zap.Error(err))
		return grwire.GatherAnswer{Refused: true}
	}
	g := &delegatedGroup{
		number: n.lastNumber.Add(1), results: make(chan grrouter.Result, 2),
		deadline: request.Deadline, top: request.Route.TopCount, fanOut: request.Route.FanOut,
	}
	pending := &pendingRequest{ctx: context.Background(), number: g.number, route: request, result: g.results}
	if !n.storeGroup(key, g) {
		return grwire.GatherAnswer{Refused: true}
	}
	if !n.events.TryPut(pending) {
		n.removeGroup(key)
		return grwire.GatherAnswer{Refused: true}
	}
	answer, more := n.awaitGroup(g)
	if !more {
		n.removeGroup(key)
	}
	return answer
}

// rebuildRequest reconstructs the caller's request. The settings of its route come with
// the call, so that the routing table in force on this instance does not matter.
func (n *Node) rebuildRequest(call *grwire.GatherRequest) (*RouteRequest, error) {
	target, err := url.ParseRequestURI(call.Target)
	if err != nil {
		return nil, err
	}
	header := make(http.Header, len(call.Header))
	for _, f := range call.Header {
		header[f.Name] = append(header[f.Name], f.Value)
	}
	now := n.Clock.Now() - n.deliveryDelay(call)
	route := grwire.RouteFrom(&call.Route)
	request := &RouteRequest{
		RouteRequest: grrouter.RouteRequest{
			Table: &grroutes.Table{}, Route: &route, IsGroup: true, OnlyReserved: call.OnlyReserved,
			Remaining:       grclock.Millis(call.CallerRemainingMS),
			PartialDeadline: now + grclock.Millis(call.PartialDeadlineMS), Deadline: now + grclock.Millis(call.RemainingMS),
		},
		ID:          grident.RequestID(call.ID),
		HTTPRequest: &http.Request{Method: call.Method, URL: target, Host: call.Host, Header: header},
		Body:        call.Body,
	}
	if call.Organisation != "" {
		request.Organisation = &grroutes.Organisation{Name: grident.Organisation(call.Organisation)}
	}
	for _, name := range call.Services {
		request.Services = append(request.Services, grident.Service(name))
	}
	for _, tag := range call.ReservedSearchers {
		request.Reserved = append(request.Reserved, grident.SearcherTag(tag))
	}
	return request, nil
}

// maxDelaySenders bounds the number of senders for which delays are tracked.
const maxDelaySenders = 4096

// deliveryDelay returns how much later than the fastest call of the same sender this
// call arrived. A call may have been delayed while this instance was paused or
// unreachable.
func (n *Node) deliveryDelay(call *grwire.GatherRequest) grclock.Millis {
	n.groupsMu.Lock()
	defer n.groupsMu.Unlock()
	if n.delays == nil || len(n.delays) > maxDelaySenders {
		n.delays = make(map[string]*grstat.RelativeDelay)
	}
	tracker := n.delays[call.From]
	if tracker == nil {
		tracker = &grstat.RelativeDelay{}
		n.delays[call.From] = tracker
	}
	return tracker.Update(grclock.Millis(call.SentUptimeMS), grclock.Uptime())
}

// awaitGroup waits for the next result of a group. more reports whether the remaining
// partial results may be requested.
func (n *Node) awaitGroup(g *delegatedGroup) (answer grwire.GatherAnswer, more bool) {
	select {
	case result := <-g.results:
		if result.Outcome == grrouter.NotRun {
			return grwire.GatherAnswer{Refused: true}, false
		}
		if !g.fanOut {
			return singleAnswer(&result), result.MoreExpected
		}
		return n.gatherAnswer(&result, g.top), result.MoreExpected
	case <-n.group.Context().Done():
		return grwire.GatherAnswer{Lost: true}, false
	}
}

func (n *Node) gatherAnswer(result *grrouter.Result, top int) grwire.GatherAnswer {
	answer := grwire.GatherAnswer{More: result.MoreExpected, TypicalRemainingMS: int64(result.TypicalRemaining), WorkOffMS: int64(result.WorkOff)}
	bodies := make([][]byte, len(result.PartialResults))
	for i, p := range result.PartialResults {
		answer.Services = append(answer.Services, string(p.Service))
		answer.Signatures = append(answer.Signatures, p.Answer.Signature)
		bodies[i] = p.Answer.Body
	}
	answer.Body = n.Adapter.Merge(bodies, top)
	return answer
}

// releaseMemory is how long the release of a group is remembered that is not known yet: calls
// are handled in parallel, so a release may overtake its group.
const releaseMemory = 2 * grclock.Second

// releaseGroup cancels a group that the other instance no longer needs.
func (n *Node) releaseGroup(key groupKey) {
	if g := n.removeGroup(key); g != nil {
		n.post(&requestCancelled{g.number})
		return
	}
	n.storeGroup(key, &delegatedGroup{released: true, deadline: n.Clock.Now() + releaseMemory})
}

// storeGroup stores a group that may be released or whose remainder may be requested,
// and removes groups whose deadline has passed. It reports false if the group was released
// already.
func (n *Node) storeGroup(key groupKey, g *delegatedGroup) bool {
	n.groupsMu.Lock()
	defer n.groupsMu.Unlock()
	if n.groups == nil {
		n.groups = make(map[groupKey]*delegatedGroup)
	}
	now := n.Clock.Now()
	for k, other := range n.groups {
		if other.deadline < now {
			delete(n.groups, k)
		}
	}
	if earlier := n.groups[key]; earlier != nil && earlier.released {
		return false
	}
	n.groups[key] = g
	return true
}

// removeGroup removes a group and returns it, or nil if it is not stored.
func (n *Node) removeGroup(key groupKey) *delegatedGroup {
	n.groupsMu.Lock()
	defer n.groupsMu.Unlock()
	g := n.groups[key]
	delete(n.groups, key)
	return g
}

// gatherRemainder answers a call for partial results that were missing from the first
// answer.
func (n *Node) gatherRemainder(key groupKey, want int) grwire.GatherAnswer {
	n.groupsMu.Lock()
	g := n.groups[key]
	n.groupsMu.Unlock()
	if g == nil || g.released {
		return grwire.GatherAnswer{}
	}
	n.post(&remainderRequested{g.number, want})
	answer, _ := n.awaitGroup(g)
	n.removeGroup(key)
	return answer
}

// delegate sends a group of shards to a peer, or a follow-up to such a group.
func (l *routerLoop) delegate(now grclock.Millis, d *grrouter.Delegation) {
	pending, ok := l.pending[d.Query]
	if !d.Release && (!ok || pending.route == nil) {
		return
	}
	call := &grwire.GatherRequest{
		SentUptimeMS: int64(grclock.Uptime()),
		From:         l.node.pool.Instance, Query: uint64(d.Query), Group: d.Group, RequestRest: d.RequestRest, RestWanted: d.RestWanted, Release: d.Release,
		PartialDeadlineMS: int64(d.PartialDeadline - now), RemainingMS: int64(d.Deadline - now),
	}
	if !d.RequestRest && !d.Release {
		describeRequest(call, pending.route)
		call.CallerRemainingMS = int64(d.Remaining)
		for _, s := range d.Services {
			call.Services = append(call.Services, string(s))
		}
		call.OnlyReserved = d.OnlyReserved
		for _, tag := range d.Reserved {
			call.ReservedSearchers = append(call.ReservedSearchers, uint16(tag))
		}
	}
	peer := l.peers[d.To]
	l.node.groupClient.Send(d.To, peer.PeerAddress, l.node.byteCounters("leaf", peer.Domain), call)
}

// describeRequest adds the caller's request to a call, as rebuildRequest reads it. The priority
// goes with the route, so that instances of builds that know no organisations apply it too.
func describeRequest(call *grwire.GatherRequest, request *RouteRequest) {
	call.Route = grwire.RouteWithoutTargets(request.Route)
	call.Route.Priority = request.Priority()
	call.Organisation = string(request.Organisation.ID())
	call.ID = string(request.ID)
	call.Method, call.Host, call.Body = request.HTTPRequest.Method, request.HTTPRequest.Host, request.Body
	call.Target = request.HTTPRequest.URL.RequestURI()
	for name, values := range request.HTTPRequest.Header {
		for _, v := range values {
			call.Header = append(call.Header, grwire.FieldWire{Name: name, Value: v})
		}
	}
}

// handleGroupResult passes the result of a group call to the router.
func (l *routerLoop) handleGroupResult(now grclock.Millis, e *grpeer.GroupEvent) {
	if e.Request.Release {
		return
	}
	answer := grrouter.GroupAnswer{Failed: true, MayHaveStarted: e.Sent}
	if a := e.Answer; a != nil && a.Lost {
		answer.MayHaveStarted = true
	} else if a != nil && !a.Refused && l.isSingle(e) {
		answer = groupAnswerOfSingle(a)
	} else if a != nil && !a.Refused && len(a.Services) == len(a.Signatures) {
		answer = grrouter.GroupAnswer{MoreExpected: a.More, TypicalRemaining: grclock.Millis(a.TypicalRemainingMS), WorkOff: grclock.Millis(max(0, a.WorkOffMS))}
		for i := range a.Services {
			result := grrouter.PartialResult{Service: grident.Service(a.Services[i]), Answer: &granswer.Answer{Status: http.StatusOK, Signature: a.Signatures[i]}}
			if i == 0 {
				result.Answer.Body = a.Body
			}
			answer.PartialResults = append(answer.PartialResults, result)
		}
	}
	if answer.Failed {
		l.node.Log.Info("group not answered",
			zap.String("request_id", e.Request.ID), zap.String("peer", string(e.To)), zap.Bool("sent", e.Sent),
			zap.Int("services", len(e.Request.Services)))
	}
	l.router.HandleGroupAnswer(now, e.To, grident.QueryID(e.Request.Query), e.Request.Group, &answer, &l.out)
}

// setPeers passes the router the instances that it can delegate to.
func (l *routerLoop) setPeers(now grclock.Millis, members []grcluster.Member) {
	l.peers = make(map[grident.InstanceID]grcluster.Member, len(members))
	peers := make([]grrouter.Peer, 0, len(members))
	for _, m := range members {
		if m.ID != l.node.Settings.Instance {
			l.peers[m.ID] = m
			peers = append(peers, grrouter.Peer{ID: m.ID, Domain: m.Domain, Capacity: m.Capacity})
		}
	}
	l.router.SetPeers(now, peers, &l.out)
}
