package grhttp

import (
	"context"
	"net/http"

	"geraniumrouter/protocol/grwire"
	"geraniumrouter/state/grerror"
	"geraniumrouter/state/grident"
	"geraniumrouter/state/grpreset"
	"geraniumrouter/transport/grtrace"
)

// CallerService handles the requests of callers.
type CallerService interface {
	Query(ctx context.Context, request grwire.QueryRequest) grwire.Answer
	Request(ctx context.Context, request grwire.OnceRequest) grwire.Answer
	Entries(domain grident.FailureDomain, seed uint64) grwire.EntriesReply
	Ready() *grerror.Error
}

// CallerHandler returns the HTTP handler of the callers' port.
func CallerHandler(service CallerService) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+grwire.QueryPath, func(w http.ResponseWriter, r *http.Request) {
		var request grwire.QueryRequest
		if !decode(w, r, &request) || !checkDeadline(w, request.DeadlineMS) {
			return
		}
		ctx, span := grtrace.Start(grtrace.Extract(r.Context(), r.Header), "query")
		defer span.End()
		replyAnswer(w, service.Query(ctx, request))
	})
	mux.HandleFunc("POST "+grwire.RequestPath, func(w http.ResponseWriter, r *http.Request) {
		var request grwire.OnceRequest
		if !decode(w, r, &request) || !checkDeadline(w, request.DeadlineMS) {
			return
		}
		ctx, span := grtrace.Start(grtrace.Extract(r.Context(), r.Header), "request")
		defer span.End()
		replyAnswer(w, service.Request(ctx, request))
	})
	mux.HandleFunc("GET "+grwire.EntriesPath, func(w http.ResponseWriter, r *http.Request) {
		domain := grident.FailureDomain(r.URL.Query().Get("failure_domain"))
		WriteJSON(w, http.StatusOK, service.Entries(domain, grident.Hash(r.RemoteAddr)))
	})
	mux.HandleFunc("GET "+grwire.HealthPath, func(w http.ResponseWriter, _ *http.Request) {
		WriteJSON(w, http.StatusOK, struct{}{})
	})
	mux.HandleFunc("GET "+grwire.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if fault := service.Ready(); fault != nil {
			WriteError(w, fault)
			return
		}
		WriteJSON(w, http.StatusOK, struct{}{})
	})
	return mux
}

func replyAnswer(w http.ResponseWriter, answer grwire.Answer) {
	WriteJSON(w, grwire.HTTPStatus(grerror.Code(answer.Code)), answer)
}

func decode(w http.ResponseWriter, r *http.Request, into any) bool {
	data, fault := grwire.ReadBody(r.Body)
	if fault == nil {
		fault = grwire.Decode(data, into)
	}
	if fault != nil {
		WriteError(w, fault)
	}
	return fault == nil
}

func checkDeadline(w http.ResponseWriter, deadline int64) bool {
	if deadline > 0 && deadline <= int64(grpreset.MaxDeadline) {
		return true
	}
	WriteError(w, grerror.New(grerror.BadDeadline, "deadline_ms is %d, allowed: 1 to %d", deadline, grpreset.MaxDeadline))
	return false
}
