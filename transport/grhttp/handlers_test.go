package grhttp

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/rcrowley/go-metrics"
	"github.com/sebdah/goldie/v2"

	"geraniumrouter/protocol/grwire"
	"geraniumrouter/state/grerror"
	"geraniumrouter/state/grident"
)

// stub is a stand-in for both services that counts the requests that can run something.
type stub struct{ calls int }

func (s *stub) Query(context.Context, grwire.QueryRequest) grwire.Answer {
	s.calls++
	return grwire.Answer{Outcome: "done"}
}

func (s *stub) Request(context.Context, grwire.OnceRequest) grwire.Answer {
	s.calls++
	return grwire.Answer{Outcome: "done"}
}

func (s *stub) Entries(grident.FailureDomain, uint64) grwire.EntriesReply {
	return grwire.EntriesReply{}
}

func (s *stub) Ready() *grerror.Error { return grerror.New(grerror.NotReady, "no preset is known") }

func (s *stub) Presets(context.Context) (grwire.PresetsReply, *grerror.Error) {
	return grwire.PresetsReply{}, nil
}

func (s *stub) Preset(context.Context, string) (grwire.PresetHistory, *grerror.Error) {
	return grwire.PresetHistory{}, nil
}

func (s *stub) PutPreset(context.Context, grwire.PutPresetRequest) (grwire.PutPresetReply, *grerror.Error) {
	s.calls++
	return grwire.PutPresetReply{}, nil
}

func (s *stub) Switch(context.Context, grwire.SwitchRequest) (grwire.ActiveWire, *grerror.Error) {
	s.calls++
	return grwire.ActiveWire{}, nil
}

func (s *stub) PresetStatus(context.Context) grwire.PresetStatus { return grwire.PresetStatus{} }

func (s *stub) Status() grwire.StatusReply { return grwire.StatusReply{} }

func (s *stub) WriteMetrics(io.Writer) error { return nil }

func (s *stub) Drain() grwire.StatusReply {
	s.calls++
	return grwire.StatusReply{}
}

// TestBadInput compares the responses to invalid requests with a golden file, and checks
// that none of the requests reaches the service.
func TestBadInput(t *testing.T) {
	s := &stub{}
	handler := CallerHandler(s)
	var text strings.Builder
	for _, c := range []struct{ method, path, body string }{
		{"POST", grwire.QueryPath, ""},
		{"POST", grwire.QueryPath, "{"},
		{"POST", grwire.QueryPath, `{"collection":"dispatch","deadline_ms":0}`},
		{"POST", grwire.QueryPath, `{"collection":"dispatch","deadline_ms":60001}`},
		{"POST", grwire.QueryPath, `{"collection":"dispatch","deadline_ms":10,"colour":"red"}`},
		{"POST", grwire.QueryPath, `{"collection":"dispatch","deadline_ms":10} more`},
		{"POST", grwire.QueryPath, `{"text":"` + strings.Repeat("x", grwire.MaxBody) + `"}`},
		{"POST", grwire.RequestPath, `{"deadline_ms":-1}`},
		{"GET", grwire.ReadyPath, ""},
	} {
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, httptest.NewRequest(c.method, c.path, strings.NewReader(c.body)))
		fmt.Fprintf(&text, "%s %s %.60s\n%d %s\n", c.method, c.path, c.body, w.Code, w.Body)
	}
	if s.calls != 0 {
		t.Errorf("%d invalid requests reached the service", s.calls)
	}
	goldie.New(t).Assert(t, "bad_input", []byte(text.String()))
}

// TestOperatorsToken checks that requests that change something need the token.
func TestOperatorsToken(t *testing.T) {
	s := &stub{}
	handler := OperatorHandler(s, "secret", metrics.NewRegistry())
	paths := []string{grwire.PresetsPath, grwire.SwitchPath, grwire.DrainPath}
	for _, given := range []string{"", "Bearer wrong", "secret"} {
		for _, path := range paths {
			if code := statusFor(handler, path, given); code != http.StatusUnauthorized {
				t.Errorf("%s with authorization %q: status %d, want 401", path, given, code)
			}
		}
	}
	if s.calls != 0 {
		t.Errorf("%d requests without the token reached the service", s.calls)
	}
	for _, path := range paths {
		if code := statusFor(handler, path, "Bearer secret"); code != http.StatusOK {
			t.Errorf("%s with the token: status %d, want 200", path, code)
		}
	}
}

func statusFor(handler http.Handler, path, authorization string) int {
	w := httptest.NewRecorder()
	r := httptest.NewRequest("POST", path, strings.NewReader("{}"))
	r.Header.Set("Authorization", authorization)
	handler.ServeHTTP(w, r)
	return w.Code
}
