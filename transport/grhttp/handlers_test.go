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
	"geraniumrouter/state/grfault"
	"geraniumrouter/state/grid"
)

// desk counts the calls that get through.
type desk struct{ calls int }

func (d *desk) Query(context.Context, grwire.QueryRequest) grwire.Answer {
	d.calls++
	return grwire.Answer{Outcome: "done"}
}

func (d *desk) Request(context.Context, grwire.OnceRequest) grwire.Answer {
	d.calls++
	return grwire.Answer{Outcome: "done"}
}

func (d *desk) Entries(grid.FailureDomain, uint64) grwire.EntriesReply { return grwire.EntriesReply{} }

func (d *desk) Ready() *grfault.Fault { return grfault.New(grfault.NotReady, "no preset is known") }

func (d *desk) Presets(context.Context) (grwire.PresetsReply, *grfault.Fault) {
	return grwire.PresetsReply{}, nil
}

func (d *desk) Preset(context.Context, string) (grwire.PresetHistory, *grfault.Fault) {
	return grwire.PresetHistory{}, nil
}

func (d *desk) PutPreset(context.Context, grwire.PutPresetRequest) (grwire.PutPresetReply, *grfault.Fault) {
	d.calls++
	return grwire.PutPresetReply{}, nil
}

func (d *desk) Switch(context.Context, grwire.SwitchRequest) (grwire.ActiveWire, *grfault.Fault) {
	d.calls++
	return grwire.ActiveWire{}, nil
}

func (d *desk) PresetStatus(context.Context) grwire.PresetStatus { return grwire.PresetStatus{} }

func (d *desk) Status() grwire.StatusReply { return grwire.StatusReply{} }

func (d *desk) WriteMetrics(io.Writer) error { return nil }

func (d *desk) Drain() grwire.StatusReply {
	d.calls++
	return grwire.StatusReply{}
}

// TestBadInput compares the answers to bad input with a golden file.
func TestBadInput(t *testing.T) {
	d := &desk{}
	handler := Callers(d)
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
	if d.calls != 0 {
		t.Errorf("%d bad requests got through", d.calls)
	}
	goldie.New(t).Assert(t, "bad_input", []byte(text.String()))
}

// TestOperatorsToken lets nobody change anything without the token.
func TestOperatorsToken(t *testing.T) {
	d := &desk{}
	handler := Operators(d, "secret", metrics.NewRegistry())
	paths := []string{grwire.PresetsPath, grwire.SwitchPath, grwire.DrainPath}
	for _, given := range []string{"", "Bearer wrong", "secret"} {
		for _, path := range paths {
			if code := callWith(handler, path, given); code != http.StatusUnauthorized {
				t.Errorf("%s with %q: status %d", path, given, code)
			}
		}
	}
	if d.calls != 0 {
		t.Errorf("%d changes got through without the token", d.calls)
	}
	for _, path := range paths {
		if code := callWith(handler, path, "Bearer secret"); code != http.StatusOK {
			t.Errorf("%s with the token: status %d", path, code)
		}
	}
}

func callWith(handler http.Handler, path, authorization string) int {
	w := httptest.NewRecorder()
	r := httptest.NewRequest("POST", path, strings.NewReader("{}"))
	r.Header.Set("Authorization", authorization)
	handler.ServeHTTP(w, r)
	return w.Code
}
