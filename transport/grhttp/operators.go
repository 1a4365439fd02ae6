package grhttp

import (
	"context"
	"crypto/subtle"
	"io"
	"net/http"

	"github.com/rcrowley/go-metrics"

	"geraniumrouter/protocol/grwire"
	"geraniumrouter/state/grfault"
	"geraniumrouter/transport/grtrace"
)

// OperatorService answers operators.
type OperatorService interface {
	Presets(ctx context.Context) (grwire.PresetsReply, *grfault.Fault)
	Preset(ctx context.Context, name string) (grwire.PresetHistory, *grfault.Fault)
	PutPreset(ctx context.Context, ask grwire.PutPresetRequest) (grwire.PutPresetReply, *grfault.Fault)
	Switch(ctx context.Context, ask grwire.SwitchRequest) (grwire.ActiveWire, *grfault.Fault)
	PresetStatus(ctx context.Context) grwire.PresetStatus
	Drain() grwire.StatusReply
	Monitored
}

// Monitored is what shows its state.
type Monitored interface {
	Status() grwire.StatusReply
	WriteMetrics(w io.Writer) error // as text
}

// Monitoring returns the handler of a port that shows the state and the metrics
// and changes nothing.
func Monitoring(of Monitored) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+grwire.StatusPath, func(w http.ResponseWriter, _ *http.Request) {
		Reply(w, http.StatusOK, of.Status())
	})
	mux.HandleFunc("GET "+grwire.MetricsPath, func(w http.ResponseWriter, _ *http.Request) {
		writeMetrics(w, of)
	})
	return mux
}

func writeMetrics(w http.ResponseWriter, of Monitored) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	_ = of.WriteMetrics(w) // The collector is gone if this fails.
}

// Operators returns the handler of the operators' port. Changes need the token
// unless it is empty.
func Operators(service OperatorService, token string, registry metrics.Registry) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+grwire.PresetsPath, func(w http.ResponseWriter, r *http.Request) {
		reply, fault := service.Presets(r.Context())
		replyOr(w, reply, fault)
	})
	mux.HandleFunc("GET "+grwire.PresetsPath+"/{name}", func(w http.ResponseWriter, r *http.Request) {
		reply, fault := service.Preset(r.Context(), r.PathValue("name"))
		replyOr(w, reply, fault)
	})
	mux.HandleFunc("GET "+grwire.PresetStatusPath, func(w http.ResponseWriter, r *http.Request) {
		ctx, span := grtrace.Start(grtrace.Extract(r.Context(), r.Header), "preset status")
		defer span.End()
		Reply(w, http.StatusOK, service.PresetStatus(ctx))
	})
	mux.HandleFunc("POST "+grwire.PresetsPath, guarded(token, func(w http.ResponseWriter, r *http.Request) {
		var ask grwire.PutPresetRequest
		if decode(w, r, &ask) {
			reply, fault := service.PutPreset(r.Context(), ask)
			replyOr(w, reply, fault)
		}
	}))
	mux.HandleFunc("POST "+grwire.SwitchPath, guarded(token, func(w http.ResponseWriter, r *http.Request) {
		var ask grwire.SwitchRequest
		if decode(w, r, &ask) {
			reply, fault := service.Switch(r.Context(), ask)
			replyOr(w, reply, fault)
		}
	}))
	mux.HandleFunc("POST "+grwire.DrainPath, guarded(token, func(w http.ResponseWriter, _ *http.Request) {
		Reply(w, http.StatusOK, service.Drain())
	}))
	mux.HandleFunc("GET "+grwire.StatusPath, func(w http.ResponseWriter, _ *http.Request) {
		Reply(w, http.StatusOK, service.Status())
	})
	mux.HandleFunc("GET "+grwire.MetricsPath, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("format") == "text" {
			writeMetrics(w, service)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		metrics.WriteJSONOnce(registry, w)
	})
	return mux
}

// guarded refuses calls without the operators' token.
func guarded(token string, next http.HandlerFunc) http.HandlerFunc {
	want := []byte("Bearer " + token)
	return func(w http.ResponseWriter, r *http.Request) {
		given := []byte(r.Header.Get("Authorization"))
		if token != "" && subtle.ConstantTimeCompare(given, want) != 1 {
			ReplyFault(w, grfault.New(grfault.Unauthorized, "the operators' token is missing or wrong"))
			return
		}
		next(w, r)
	}
}

func replyOr(w http.ResponseWriter, reply any, fault *grfault.Fault) {
	if fault != nil {
		ReplyFault(w, fault)
		return
	}
	Reply(w, http.StatusOK, reply)
}
