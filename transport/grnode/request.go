package grnode

import (
	"context"

	"geraniumrouter/coordination/grclaim"
	"geraniumrouter/coordination/grrouter"
	"geraniumrouter/protocol/grwire"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grerror"
	"geraniumrouter/state/grident"
	"geraniumrouter/state/grrequestid"
	"geraniumrouter/state/grsnapshot"
)

// Timing of requests that are not idempotent.
const (
	// firstPollDelay is the wait before the first poll for the outcome of another attempt; it
	// doubles with each poll.
	firstPollDelay = 50 * grclock.Millisecond
	// maxIDClockLead is the allowed lead of a request id's timestamp over the local clock.
	maxIDClockLead = grclock.Minute
)

// Request executes a request that is not idempotent at most once, over all attempts with
// the same id through any instance.
func (h callerHandler) Request(ctx context.Context, request grwire.OnceRequest) grwire.Answer {
	h.node.inFlight.Add(1)
	defer h.node.inFlight.Add(-1)
	if answer, rejected := h.rejection(); rejected {
		return answer
	}
	if fault := h.validateRequest(&request); fault != nil {
		return grwire.RejectionFor(fault)
	}
	id := grident.RequestID(request.RequestID)
	deadline := h.node.Clock.Now() + grclock.Millis(request.DeadlineMS)
	token := h.node.newToken()
	decision := h.node.claimLoop.claim(id, token, deadline)
	switch decision.Verdict {
	case grclaim.Granted:
		return h.runClaimed(ctx, &request, decision.Claim, deadline)
	case grclaim.AlreadyClaimed:
		return h.awaitOutcome(ctx, id, decision.Entry, deadline)
	case grclaim.Expired:
		return grwire.RejectionFor(grerror.New(grerror.ExpiredRequestID, "request ids are remembered for %d ms", claimRetention))
	case grclaim.Full:
		return grwire.RejectionFor(grerror.New(grerror.Overloaded, "too many requests are remembered"))
	}
	return grwire.RejectionFor(grerror.New(grerror.PlatformDown, "the claim on the request could not be made in time"))
}

// validateRequest rejects, before it is claimed, a request that could never be executed.
func (h callerHandler) validateRequest(request *grwire.OnceRequest) *grerror.Error {
	created, err := grrequestid.Time(grident.RequestID(request.RequestID))
	if err != nil {
		return grerror.New(grerror.BadRequestID, "%v", err)
	}
	if created > h.node.Clock.Now()+maxIDClockLead {
		return grerror.New(grerror.BadRequestID, "the time in the request id is ahead by more than %d ms", maxIDClockLead)
	}
	var fault *grerror.Error
	h.node.inspect(func(r *grrouter.Router) {
		m := r.ShardMap(grident.Collection(request.Collection))
		switch {
		case m == nil:
			fault = grerror.New(grerror.UnknownCollection, "there is no collection %q", request.Collection)
		case m.Find(grsnapshot.Key(request.Key)) < 0:
			fault = grerror.New(grerror.BadKey, "key %d is outside of the collection", request.Key)
		}
	})
	return fault
}

// runClaimed dispatches a request whose claim was granted, and records its outcome in
// the claim ledger.
func (h callerHandler) runClaimed(ctx context.Context, request *grwire.OnceRequest, claim grclaim.Claim, deadline grclock.Millis) grwire.Answer {
	result := h.node.submit(pendingRequest{
		nonIdempotent: true,
		ctx:           ctx,
		collection:    grident.Collection(request.Collection),
		key:           grsnapshot.Key(request.Key),
		text:          request.Text,
		requestID:     claim.ID,
		deadline:      deadline,
	})
	answer := grwire.AnswerFor(&result)
	switch result.Outcome {
	case grrouter.NotRun:
		h.node.claimLoop.post(claimEvent{release: &claim})
	case grrouter.Complete:
		text := string(grwire.Encode(answer.Records))
		h.node.claimLoop.post(claimEvent{outcome: &grclaim.Outcome{Claim: claim, State: grclaim.Done, Text: text}})
	default:
		h.node.claimLoop.post(claimEvent{outcome: &grclaim.Outcome{Claim: claim, State: grclaim.UnknownOutcome}})
	}
	return answer
}

// awaitOutcome answers a repeated request with the outcome of the attempt that holds the
// claim. It polls the platform for that outcome until the deadline.
func (h callerHandler) awaitOutcome(ctx context.Context, id grident.RequestID, entry grclaim.Entry, deadline grclock.Millis) grwire.Answer {
	for delay := firstPollDelay; entry.State == grclaim.Pending && h.node.Clock.Now()+delay < deadline; delay *= 2 {
		if !h.node.Clock.Sleep(ctx, delay) {
			break
		}
		object, err := h.node.platform.Get(ctx, grwire.ClaimLedgerKey(grclaim.PartitionOf(id)))
		if err != nil {
			continue
		}
		if ledger, err := grwire.DecodeLedger(object.Value); err == nil {
			if found, held := ledger.Entries[id]; held {
				entry = found
			}
		}
	}
	if entry.State == grclaim.Done {
		answer := grwire.Answer{Outcome: grrouter.Complete.String(), Coverage: 1, Repeated: true}
		_ = grwire.Decode([]byte(entry.Text), &answer.Records) // Undecodable records are left out.
		return answer
	}
	fault := grerror.New(grerror.AlreadyClaimed, "another try with this id was dispatched; its outcome is not known")
	return grwire.Answer{Outcome: grrouter.Unknown.String(), Code: string(fault.Code), Text: fault.Text, Repeated: true}
}
