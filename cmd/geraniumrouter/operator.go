package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/integrii/flaggy"

	"geraniumrouter/protocol/grwire"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grfault"
)

// operatorWait bounds one call of an operator.
const operatorWait = 10 * grclock.Second

// ask makes one call to the operators' port. A refusal comes back as a
// *grfault.Fault.
func (t *target) ask(method, path string, body, into any) error {
	c, err := t.client()
	if err != nil {
		return err
	}
	var raw json.RawMessage
	status, err := c.Call(context.Background(), c.Seeds[0], method, path, operatorWait, body, &raw)
	if err != nil {
		return err
	}
	if status == http.StatusOK {
		return json.Unmarshal(raw, into)
	}
	var refusal grwire.Answer
	if err := json.Unmarshal(raw, &refusal); err != nil {
		return err
	}
	return &grfault.Fault{Code: grfault.Code(refusal.Code), Text: refusal.Text}
}

func operatorCommands() []command {
	t := target{entries: defaultDesk}
	status := newSub("status", "Show the state of an entry instance.")
	t.attach(status, operatorsUsage)
	drain := newSub("drain", "Start a graceful shutdown of an entry instance.")
	t.attach(drain, operatorsUsage)
	return []command{
		{status, func() int { return showStatus(&t, http.MethodGet, grwire.StatusPath) }},
		{drain, func() int { return showStatus(&t, http.MethodPost, grwire.DrainPath) }},
	}
}

func showStatus(t *target, method, path string) int {
	var s grwire.StatusReply
	if err := t.ask(method, path, nil, &s); err != nil {
		return failed(err)
	}
	if t.asJSON {
		return printJSON(s)
	}
	fmt.Printf("%s in %s: %s, ready %v, watching %v, preset %s generation %d, table %d, %d queries in flight\n",
		s.Instance, s.Domain, s.Phase, s.Ready, s.Watching, s.Preset, s.Generation, s.TableVersion, s.InFlight)
	for _, c := range s.Collections {
		fmt.Printf("  collection %-16s index %d, shard map %d, %d shards\n", c.Collection, c.Index, c.Map, c.Shards)
	}
	for _, p := range s.Peers {
		fmt.Printf("  peer %-12s %-10s %s\n", p.Instance, p.Domain, p.State)
	}
	for _, v := range s.Services {
		fmt.Printf("  service %-18s %d waiting\n", v.Service, v.Waiting)
		for _, r := range v.Searchers {
			fmt.Printf("    %-20s leaving %-5v connections %d of %d\n", r.Searcher, r.Leaving, r.Connections, r.Share)
		}
	}
	return exitDone
}

func presetGroup() (*flaggy.Subcommand, []command) {
	t := target{entries: defaultDesk}
	group := newSub("preset", "Store, show and switch presets.")
	list := newSub("list", "List the presets.")
	show := newSub("show", "Show the revisions of a preset.")
	put := newSub("put", "Store a new revision from a JSON file.")
	change := newSub("switch", "Put a revision in force; name an earlier one to roll back.")
	diff := newSub("diff", "Show what changed between two revisions of a preset.")
	status := newSub("status", "Show which generation is in force on which instance.")
	for _, sub := range []*flaggy.Subcommand{list, show, put, change, diff, status} {
		t.attach(sub, operatorsUsage)
		group.AttachSubcommand(sub, 1)
	}
	var name, file, operation string
	var revision, from, to uint64
	follows := int64(-1)
	show.AddPositionalValue(&name, "NAME", 1, true, "the preset")
	diff.AddPositionalValue(&name, "NAME", 1, true, "the preset")
	diff.UInt64(&from, "", "from", "the earlier revision; 0 for the one before the later")
	diff.UInt64(&to, "", "to", "the later revision; 0 for the newest")
	put.AddPositionalValue(&file, "FILE", 1, true, "the preset as JSON")
	change.AddPositionalValue(&name, "NAME", 1, true, "the preset")
	change.UInt64(&revision, "", "revision", "the revision; 0 for the newest")
	for _, sub := range []*flaggy.Subcommand{put, change} {
		sub.String(&operation, "", "operation-id", "repeat it to settle a lost reply; made anew if empty")
		sub.Int64(&follows, "", "follows", "refuse unless this revision or generation is the newest")
	}
	return group, []command{
		{list, func() int { return listPresets(&t) }},
		{show, func() int { return showPreset(&t, name) }},
		{put, func() int { return putPreset(&t, file, operationOr(operation), follows) }},
		{change, func() int { return switchPreset(&t, name, revision, operationOr(operation), follows) }},
		{diff, func() int { return diffPreset(&t, name, from, to) }},
		{status, func() int { return presetStatus(&t) }},
	}
}

func operationOr(id string) string {
	if id == "" {
		return "op-" + randomText()
	}
	return id
}

// follow returns the revision or generation that a change must follow, or nil.
func follow(n int64) *uint64 {
	if n < 0 {
		return nil
	}
	base := uint64(n)
	return &base
}

func listPresets(t *target) int {
	var reply grwire.PresetsReply
	if err := t.ask(http.MethodGet, grwire.PresetsPath, nil, &reply); err != nil {
		return failed(err)
	}
	if t.asJSON {
		return printJSON(reply)
	}
	for _, p := range reply.Presets {
		fmt.Printf("%-20s revision %d\n", p.Name, p.Revision)
	}
	if a := reply.Active; a != nil {
		fmt.Printf("in force: %s revision %d, generation %d\n", a.Preset.Name, a.Preset.Revision, a.Generation)
	}
	return exitDone
}

func showPreset(t *target, name string) int {
	var reply grwire.PresetHistory
	if err := t.ask(http.MethodGet, grwire.PresetsPath+"/"+name, nil, &reply); err != nil {
		return failed(err)
	}
	return printJSON(reply)
}

// diffPreset prints the lines of two revisions that differ.
func diffPreset(t *target, name string, from, to uint64) int {
	var reply grwire.PresetHistory
	if err := t.ask(http.MethodGet, grwire.PresetsPath+"/"+name, nil, &reply); err != nil {
		return failed(err)
	}
	if to == 0 {
		to = reply.Revisions[len(reply.Revisions)-1].Preset.Revision
	}
	if from == 0 {
		from = to - 1
	}
	a, b := revisionLines(&reply, from), revisionLines(&reply, to)
	if a == nil || b == nil {
		return failed(grfault.New(grfault.UnknownPreset, "preset %s has no revisions %d and %d", name, from, to))
	}
	for _, line := range missingFrom(a, b) {
		fmt.Println("-", line)
	}
	for _, line := range missingFrom(b, a) {
		fmt.Println("+", line)
	}
	return exitDone
}

// revisionLines returns a revision as a line for each value, or nil.
func revisionLines(h *grwire.PresetHistory, revision uint64) []string {
	for _, r := range h.Revisions {
		if r.Preset.Revision == revision {
			return r.Preset.Lines()
		}
	}
	return nil
}

// missingFrom returns the lines of a that b does not have.
func missingFrom(a, b []string) []string {
	return slices.DeleteFunc(slices.Clone(a), func(line string) bool { return slices.Contains(b, line) })
}

func putPreset(t *target, file, operation string, follows int64) int {
	data, err := os.ReadFile(file)
	if err != nil {
		return misused(errors.Wrap(err, "preset"))
	}
	ask := grwire.PutPresetRequest{Operation: operation, IfRevision: follow(follows)}
	if fault := grwire.Decode(data, &ask.Preset); fault != nil {
		return misused(errors.Wrap(fault, file))
	}
	if _, err := grwire.PresetFrom(&ask.Preset); err != nil {
		return misused(errors.Wrap(err, file))
	}
	var reply grwire.PutPresetReply
	if err := t.ask(http.MethodPost, grwire.PresetsPath, ask, &reply); err != nil {
		return failed(err)
	}
	if t.asJSON {
		return printJSON(reply)
	}
	fmt.Printf("stored %s revision %d by operation %s\n", reply.Name, reply.Revision, operation)
	return exitDone
}

func switchPreset(t *target, name string, revision uint64, operation string, follows int64) int {
	ask := grwire.SwitchRequest{Operation: operation, Name: name, Revision: revision, IfGeneration: follow(follows)}
	var reply grwire.ActiveWire
	if err := t.ask(http.MethodPost, grwire.SwitchPath, ask, &reply); err != nil {
		return failed(err)
	}
	if t.asJSON {
		return printJSON(reply)
	}
	fmt.Printf("accepted: %s revision %d, generation %d, by operation %s\n",
		reply.Preset.Name, reply.Preset.Revision, reply.Generation, operation)
	return exitDone
}

func presetStatus(t *target) int {
	var s grwire.PresetStatus
	if err := t.ask(http.MethodGet, grwire.PresetStatusPath, nil, &s); err != nil {
		return failed(err)
	}
	if t.asJSON {
		return printJSON(s)
	}
	fmt.Printf("generation %d\n", s.Generation)
	for _, i := range s.Instances {
		fmt.Printf("  %-12s %-10s %-8s generation %d after %d ms\n", i.Instance, i.Domain, i.State, i.Generation, i.TookMS)
	}
	return exitDone
}
