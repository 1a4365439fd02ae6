package grhttp

import (
	"context"
	"crypto/subtle"
	"io"
	"net/http"

	"github.com/rcrowley/go-metrics"

	"geraniumrouter/protocol/grwire"
	"geraniumrouter/state/grerror"
	"geraniumrouter/transport/grtrace"
)

// OperatorService handles the requests of operators.
type OperatorService interface {
	Presets(ctx context.Context) (grwire.PresetsReply, *grerror.Error)
	Preset(ctx context.Context, name string) (grwire.PresetHistory, *grerror.Error)
	PutPreset(ctx context.Context, request grwire.PutPresetRequest) (grwire.PutPresetReply, *grerror.Error)
	Switch(ctx context.Context, request grwire.SwitchRequest) (grwire.ActiveWire, *grerror.Error)
	PresetStatus(ctx context.Context) grwire.PresetStatus
	Drain() grwire.StatusReply
	MonitoringService
}

// MonitoringService provides the data of the read-only monitoring endpoints.
type MonitoringService interface {
	Status() grwire.StatusReply
	WriteMetrics(w io.Writer) error // in the text format
}

// MonitoringHandler returns the HTTP handler of a read-only port for the status and the
// metrics.
func MonitoringHandler(service MonitoringService) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+grwire.StatusPath, func(w http.ResponseWriter, _ *http.Request) {
		WriteJSON(w, http.StatusOK, service.Status())
	})
	mux.HandleFunc("GET "+grwire.MetricsPath, func(w http.ResponseWriter, _ *http.Request) {
		writeMetrics(w, service)
	})
	return mux
}

func writeMetrics(w http.ResponseWriter, service MonitoringService) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	_ = service.WriteMetrics(w) // This fails only if the client has disconnected.
}

// OperatorHandler returns the HTTP handler of the operators' port. Requests that change
// something need the token as bearer token, unless token is empty.
func OperatorHandler(service OperatorService, token string, registry metrics.Registry) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+grwire.PresetsPath, func(w http.ResponseWriter, r *http.Request) {
		reply, fault := service.Presets(r.Context())
		replyResult(w, reply, fault)
	})
	mux.HandleFunc("GET "+grwire.PresetsPath+"/{name}", func(w http.ResponseWriter, r *http.Request) {
		reply, fault := service.Preset(r.Context(), r.PathValue("name"))
		replyResult(w, reply, fault)
	})
	mux.HandleFunc("GET "+grwire.PresetStatusPath, func(w http.ResponseWriter, r *http.Request) {
		ctx, span := grtrace.Start(grtrace.Extract(r.Context(), r.Header), "preset status")
		defer span.End()
		WriteJSON(w, http.StatusOK, service.PresetStatus(ctx))
	})
	mux.HandleFunc("POST "+grwire.PresetsPath, requireToken(token, func(w http.ResponseWriter, r *http.Request) {
		var request grwire.PutPresetRequest
		if decode(w, r, &request) {
			reply, fault := service.PutPreset(r.Context(), request)
			replyResult(w, reply, fault)
		}
	}))
	mux.HandleFunc("POST "+grwire.SwitchPath, requireToken(token, func(w http.ResponseWriter, r *http.Request) {
		var request grwire.SwitchRequest
		if decode(w, r, &request) {
			reply, fault := service.Switch(r.Context(), request)
			replyResult(w, reply, fault)
		}
	}))
	mux.HandleFunc("POST "+grwire.DrainPath, requireToken(token, func(w http.ResponseWriter, _ *http.Request) {
		WriteJSON(w, http.StatusOK, service.Drain())
	}))
	mux.HandleFunc("GET "+grwire.StatusPath, func(w http.ResponseWriter, _ *http.Request) {
		WriteJSON(w, http.StatusOK, service.Status())
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

// requireToken rejects requests without the operators' token.
func requireToken(token string, next http.HandlerFunc) http.HandlerFunc {
	want := []byte("Bearer " + token)
	return func(w http.ResponseWriter, r *http.Request) {
		given := []byte(r.Header.Get("Authorization"))
		if token != "" && subtle.ConstantTimeCompare(given, want) != 1 {
			WriteError(w, grerror.New(grerror.Unauthorized, "the operators' token is missing or wrong"))
			return
		}
		next(w, r)
	}
}

func replyResult(w http.ResponseWriter, reply any, fault *grerror.Error) {
	if fault != nil {
		WriteError(w, fault)
		return
	}
	WriteJSON(w, http.StatusOK, reply)
}
