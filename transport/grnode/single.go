package grnode

import (
	"geraniumrouter/coordination/grrouter"
	"geraniumrouter/protocol/grwire"
	"geraniumrouter/state/granswer"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grident"
	"geraniumrouter/transport/grpeer"
)

// isSingle reports whether the group belongs to a request to one service.
func (l *routerLoop) isSingle(e *grpeer.GroupEvent) bool {
	pending, ok := l.pending[grident.QueryID(e.Request.Query)]
	return ok && pending.route != nil && !pending.route.Route.FanOut
}

// singleAnswer returns the result of a request to one service that another instance
// delegated.
func singleAnswer(result *grrouter.Result) grwire.GatherAnswer {
	answer := grwire.GatherAnswer{More: result.MoreExpected, TypicalRemainingMS: int64(result.TypicalRemaining), WorkOffMS: int64(result.WorkOff)}
	from := result.Failure
	if len(result.PartialResults) > 0 {
		part := &result.PartialResults[0]
		answer.Services, from = []string{string(part.Service)}, part.Answer
	}
	if from == nil {
		return answer
	}
	answer.Single = &grwire.AnswerWire{Status: from.Status, Signature: from.Signature, Body: from.Body}
	for _, f := range from.Fields {
		answer.Single.Fields = append(answer.Single.Fields, grwire.FieldWire(f))
	}
	return answer
}

// groupAnswerOfSingle returns the answer of another instance to a request to one service. An
// instance of an older build answers without Single; its answer lacks status and fields, so it
// counts as lost.
func groupAnswerOfSingle(a *grwire.GatherAnswer) grrouter.GroupAnswer {
	if a.Single == nil && len(a.Services) > 0 {
		return grrouter.GroupAnswer{Failed: true, MayHaveStarted: true}
	}
	answer := grrouter.GroupAnswer{MoreExpected: a.More, TypicalRemaining: grclock.Millis(a.TypicalRemainingMS), WorkOff: grclock.Millis(max(0, a.WorkOffMS))}
	if a.Single == nil {
		return answer
	}
	single := &granswer.Answer{Status: a.Single.Status, Signature: a.Single.Signature, Body: a.Single.Body}
	for _, f := range a.Single.Fields {
		single.Fields = append(single.Fields, granswer.Field(f))
	}
	if len(a.Services) == 0 {
		answer.Failure = single
		return answer
	}
	answer.PartialResults = []grrouter.PartialResult{{Service: grident.Service(a.Services[0]), Answer: single}}
	return answer
}
