package grstanddemo

import (
	"context"
	"fmt"
	"io"
	"net/http"

	"geraniumrouter/protocol/grwire"
	"geraniumrouter/standin/grstandupstream"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grident"
	"geraniumrouter/transport/grclient"
)

// StepError is the error of a step of the demonstration whose result was not the
// expected one.
type StepError struct{ Step, Got string }

// Error names the step and its result.
func (e *StepError) Error() string { return "demo: " + e.Step + ": " + e.Got }

// demoDeadline is the minimum timeout of the queries of the demonstration.
const demoDeadline = 300 * grclock.Millisecond

// startTimeout is the timeout for calls by the operator, and for the wait until
// all entry instances are in an expected state.
const startTimeout = 20 * grclock.Second

// Show demonstrates a started cluster: it queries every collection, takes the
// searchers of one service down and switches the preset. It prints a line for
// each query and returns a StepError at the first unexpected result.
func Show(ctx context.Context, c *Cluster, w io.Writer) error {
	d := newDemo(c, w)
	fmt.Fprintf(w, "%-34s %-8s %9s %9s %6s %5s\n", "step", "outcome", "coverage", "records", "ms", "gen")
	for _, step := range []func(context.Context) error{d.prepare, d.queryAll, d.stopSearcher, d.stopService, d.switchPreset} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

// Prepare stores the example presets, switches to the preset "ordinary" and
// waits until all entry instances are ready.
func Prepare(ctx context.Context, c *Cluster) error {
	return newDemo(c, io.Discard).prepare(ctx)
}

func newDemo(c *Cluster, w io.Writer) *demo {
	client := &grclient.Client{Clock: c.Clock}
	for i := range EntryCount {
		client.Seeds = append(client.Seeds, c.Layout().CallerAddress(i))
	}
	return &demo{cluster: c, client: client, out: w}
}

type demo struct {
	cluster *Cluster
	client  *grclient.Client
	out     io.Writer
}

func (d *demo) prepare(ctx context.Context) error {
	for _, name := range []string{"ordinary", "peak", "maintenance"} {
		var reply grwire.PutPresetReply
		req := grwire.PutPresetRequest{Operation: "demo-put-" + name, Preset: d.cluster.preset(name)}
		if err := d.callOperator(ctx, grwire.PresetsPath, req, &reply); err != nil {
			return err
		}
	}
	if err := d.switchTo(ctx, "demo-switch-1", "ordinary"); err != nil {
		return err
	}
	return d.waitReady(ctx)
}

func (d *demo) queryAll(ctx context.Context) error {
	for _, c := range d.cluster.Deployment.Collections {
		if err := d.query(ctx, "query "+string(c.Collection), string(c.Collection), "done"); err != nil {
			return err
		}
	}
	return nil
}

func (d *demo) stopSearcher(ctx context.Context) error {
	d.cluster.Upstream.Searchers[0].SetFaults(grstandupstream.Faults{Down: true})
	return d.query(ctx, "one searcher of a service lost", d.firstCollection(), "done")
}

func (d *demo) stopService(ctx context.Context) error {
	d.cluster.Upstream.Searchers[1].SetFaults(grstandupstream.Faults{Down: true})
	want := "partial"
	if d.cluster.Deployment.Name == "restrepo" {
		want = "unknown" // its preset does not allow partial answers
	}
	return d.query(ctx, "both searchers of a service lost", d.firstCollection(), want)
}

func (d *demo) switchPreset(ctx context.Context) error {
	if err := d.switchTo(ctx, "demo-switch-2", "maintenance"); err != nil {
		return err
	}
	return d.query(ctx, "preset maintenance in force", d.firstCollection(), "partial")
}

func (d *demo) firstCollection() string {
	return string(d.cluster.Deployment.Collections[0].Collection)
}

func (d *demo) query(ctx context.Context, step, collection, want string) error {
	start := d.cluster.Clock.Now()
	deadline := max(demoDeadline, d.cluster.QueryTimeout)
	answer, err := d.client.Query(ctx, grwire.QueryRequest{Collection: collection, Text: "open", DeadlineMS: int64(deadline)})
	if err != nil {
		return err
	}
	took := d.cluster.Clock.Now() - start
	fmt.Fprintf(d.out, "%-34s %-8s %8.2f%% %9d %6d %5d\n",
		step, answer.Outcome, 100*answer.Coverage, len(answer.Records), took, answer.Generation)
	if answer.Outcome != want {
		return &StepError{step, answer.Outcome + " " + answer.Code}
	}
	return nil
}

func (d *demo) switchTo(ctx context.Context, operation, name string) error {
	var active grwire.ActiveWire
	req := grwire.SwitchRequest{Operation: operation, Name: name}
	if err := d.callOperator(ctx, grwire.SwitchPath, req, &active); err != nil {
		return err
	}
	return d.waitGeneration(ctx, active.Generation)
}

// callOperator sends an operator's request to the first entry instance. It tries
// up to 100 times, until the instance accepts it.
func (d *demo) callOperator(ctx context.Context, path string, req, reply any) error {
	var err error
	var status int
	for range 100 {
		status, err = d.client.Call(ctx, d.cluster.Layout().OperatorAddress(0), http.MethodPost, path, startTimeout, req, reply)
		if err == nil && status == http.StatusOK {
			return nil
		}
		d.cluster.Clock.Sleep(ctx, 50)
	}
	if err != nil {
		return err
	}
	return &StepError{path, fmt.Sprintf("status %d", status)}
}

func (d *demo) waitReady(ctx context.Context) error {
	return d.waitAll(ctx, "ready", func(i int) bool {
		var reply struct{}
		status, err := d.client.Call(ctx, d.cluster.Layout().CallerAddress(i), http.MethodGet, grwire.ReadyPath, grclock.Second, nil, &reply)
		return err == nil && status == http.StatusOK
	})
}

func (d *demo) waitGeneration(ctx context.Context, generation uint64) error {
	return d.waitAll(ctx, "generation in force", func(i int) bool {
		var status grwire.StatusReply
		_, err := d.client.Call(ctx, d.cluster.Layout().OperatorAddress(i), http.MethodGet, grwire.StatusPath, grclock.Second, nil, &status)
		return err == nil && status.Generation >= generation
	})
}

func (d *demo) waitAll(ctx context.Context, step string, condition func(i int) bool) error {
	end := d.cluster.Clock.Now() + startTimeout
	for i := range EntryCount {
		for !condition(i) {
			if d.cluster.Clock.Now() > end || !d.cluster.Clock.Sleep(ctx, 20) {
				return &StepError{step, string(grident.InstanceID(EntryID(i))) + " did not get there"}
			}
		}
	}
	return nil
}
