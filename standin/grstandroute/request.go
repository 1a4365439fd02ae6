package grstandroute

import (
	"slices"
	"strconv"

	"geraniumrouter/coordination/grrouter"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grident"
	"geraniumrouter/state/grroutes"
)

// request is the state of a caller's request at the caller and at searchers.
type request struct {
	number     int
	at         grclock.Millis // when the caller's time started
	firstAt    grclock.Millis // that time of the request whose rejection this one follows
	timeout    grclock.Millis // of the caller
	planned    plannedRequest // with Config.Load
	caller     int            // likewise
	repeat     int            // failures and rejections before it that its caller repeated immediately
	route      *grroutes.Route
	elapsed    grclock.Millis // time from then until the caller sent it
	received   bool           // an instance has received it
	instance   *instance      // that its caller sent it to
	returned   bool           // its caller returned with it after a rejection
	outcome    outcome
	attempts   map[grident.Service]int         // attempts that reached searchers
	ranOn      map[grident.Service][]*searcher // searchers that ran it, once for each run
	searchTime grclock.Millis                  // time of each of its sub-requests; 0: not drawn yet
}

// correlation returns the id by which the searchers' answers are matched to the request.
func (r *request) correlation() grident.CorrelationID { return grident.CorrelationID(r.number + 1) }

// outcome is how a request ended for its caller.
type outcome uint8

const (
	inFlight outcome = iota
	answered
	notRun
	failed
	disconnected
)

func (req *request) key() string { return strconv.Itoa(req.number) }

func (req *request) countAttempt(name grident.Service) {
	if req.attempts == nil {
		req.attempts = make(map[grident.Service]int)
	}
	req.attempts[name]++
}

// drawSearchTime returns the time of a sub-request, which is the same for all
// shards of a request. It is drawn on first use.
func (req *request) drawSearchTime(sim *simulation) grclock.Millis {
	if req.searchTime == 0 {
		req.searchTime = sim.drawUsualTime(&sim.random)
	}
	return req.searchTime
}

// drawUsualTime draws the time of the sub-requests of a request at searchers that are not slow.
func (sim *simulation) drawUsualTime(random *grident.Random) grclock.Millis {
	return max(1, sim.config.SearchTime/2+grclock.Millis(random.IntN(int(sim.config.SearchTime)+1)))
}

// receive checks and counts a result that reached the caller.
func (sim *simulation) receive(req *request, result grrouter.Result) {
	sim.countLoad(req, &result)
	switch result.Outcome {
	case grrouter.Complete, grrouter.Partial:
		sim.checkAnswer(req, &result)
		sim.endRequest(req, answered)
		if req.returned {
			sim.report.ReturnServed++
		}
		sim.countAnswer(req, float64(len(result.PartialResults))/float64(result.ShardsRequested))
	case grrouter.NotRun:
		sim.report.NotRun++
		sim.report.SlowestNotRun = max(sim.report.SlowestNotRun, sim.now-req.at-req.elapsed)
		sim.endRequest(req, notRun)
		if sim.config.CallersReturn && !req.returned {
			sim.after(result.RetryAfter, func() { sim.returnCaller(req) })
		}
		if len(req.ranOn) > 0 {
			sim.reportViolation("request %d ran although the caller was told that it did not", req.number)
		}
	default:
		sim.report.Failed++
		sim.endRequest(req, failed)
	}
}

func (sim *simulation) endRequest(req *request, o outcome) {
	if req.outcome != inFlight {
		sim.reportViolation("request %d ended twice", req.number)
	}
	req.outcome = o
}

func (sim *simulation) countAnswer(req *request, share float64) {
	took := sim.now - req.at
	sim.latencies = append(sim.latencies, took)
	sim.coverage += share
	if took <= req.route.LatencyObjective {
		sim.report.InObjective++
		sim.report.Score += share * share
	} else {
		sim.report.Late++
	}
}

// returnCaller sends the request of a caller again that was told that it did not run.
func (sim *simulation) returnCaller(rejected *request) {
	if rejected.instance.killed {
		return
	}
	sim.report.Returned++
	req := sim.newRequest(rejected.instance, rejected.route)
	req.returned = true
	sim.after(callerOneWay, func() { req.instance.deliver(func() { req.instance.handleRequest(req) }) })
}

// checkAnswer checks that the partial results belong to this request, come from
// different shards and cover the share of shards that the route requires.
func (sim *simulation) checkAnswer(req *request, result *grrouter.Result) {
	seen := make(map[string]bool)
	for _, p := range result.PartialResults {
		signature := p.Answer.Signature
		if seen[signature] {
			sim.reportViolation("request %d: duplicate partial result %s", req.number, signature)
		}
		seen[signature] = true
		if signature != string(p.Service)+"#"+req.key() {
			sim.reportViolation("request %d: partial result %s belongs to another request or shard", req.number, signature)
		}
	}
	sim.checkRecords(req, result)
	if float64(len(result.PartialResults)) < req.route.MinSuccessShare*float64(result.ShardsRequested) {
		sim.reportViolation("request %d: only %d of %d partial results", req.number, len(result.PartialResults), result.ShardsRequested)
	}
}

// checkRecords checks that the body holds the records of each partial result
// exactly once.
func (sim *simulation) checkRecords(req *request, result *grrouter.Result) {
	if !req.route.FanOut {
		return
	}
	count := make(map[string]int)
	for _, p := range result.PartialResults {
		count[string(p.Service)]++
		for body := p.Answer.Body; len(body) >= len(serviceName(0)); body = body[len(serviceName(0)):] {
			count[string(body[:len(serviceName(0))])]--
		}
	}
	for name, n := range count {
		if n != 0 {
			sim.reportViolation("request %d: answer holds the records of %s %d times", req.number, name, 1-n)
		}
	}
}

// checkRequest checks at the end of the run that a request ended and did not run
// more often, or on more searchers of a shard, than its route allows.
func (sim *simulation) checkRequest(req *request) {
	sim.report.Requests++
	if req.received && req.outcome == inFlight {
		sim.reportViolation("request %d did not end", req.number)
	}
	for name, list := range req.ranOn {
		if !req.route.Idempotent && len(list) > 1 {
			sim.reportViolation("request %d ran %d times although its route is not idempotent", req.number, len(list))
		}
		searchers := make(map[*searcher]bool)
		for _, s := range list {
			searchers[s] = true
		}
		if len(searchers) > req.route.MaxAttempts {
			sim.reportViolation("request %d ran on %d searchers of %s, more than its route allows", req.number, len(searchers), name)
		}
	}
}

// checkExtraAttempts checks for each service that the extra attempts in every
// window are within the limit. The limit is relative to the requests for the
// service, whether or not their attempts reached a searcher. Requests up to half
// a window earlier count as well, since extra attempts can come until the route's
// timeout.
func (sim *simulation) checkExtraAttempts() {
	for i := range sim.config.Shards {
		var extras, requests []grclock.Millis
		for _, s := range sim.searchers {
			if s.service != serviceName(i) {
				continue
			}
			for _, a := range s.attempts {
				if a.extra {
					extras = append(extras, a.at)
				}
			}
		}
		for _, req := range sim.requests {
			if req.received && slices.Contains(req.route.Targets[0].Services, serviceName(i)) {
				requests = append(requests, req.at)
			}
		}
		sim.report.ExtraAttempts += len(extras)
		for _, start := range extras {
			extraAttempts, requestCount := countWithin(extras, start, extraWindow), countWithin(requests, start-extraWindow/2, extraWindow*3/2)
			if float64(extraAttempts) > extraRatio*float64(requestCount)+extraCount {
				sim.reportViolation("%s: %d extra attempts for %d requests in the window from %d ms", serviceName(i), extraAttempts, requestCount, start)
				break
			}
		}
	}
}

func countWithin(times []grclock.Millis, start, span grclock.Millis) int {
	n := 0
	for _, at := range times {
		if at >= start && at < start+span {
			n++
		}
	}
	return n
}
