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
	"geraniumrouter/state/grerror"
)

// operatorTimeout is the timeout of one call to the operators' port.
const operatorTimeout = 10 * grclock.Second

// call sends one request to the operators' port and decodes the reply. A reply with an error
// status is returned as a *grerror.Error.
func (f *clientFlags) call(method, path string, body, into any) error {
	c, err := f.client()
	if err != nil {
		return err
	}
	var raw json.RawMessage
	status, err := c.Call(context.Background(), c.Seeds[0], method, path, operatorTimeout, body, &raw)
	if err != nil {
		return err
	}
	if status == http.StatusOK {
		return json.Unmarshal(raw, into)
	}
	var errorReply grwire.Answer
	if err := json.Unmarshal(raw, &errorReply); err != nil {
		return err
	}
	return &grerror.Error{Code: grerror.Code(errorReply.Code), Text: errorReply.Text}
}

func operatorCommands() []command {
	f := clientFlags{addresses: defaultOperatorAddress}
	status := newSubcommand("status", "Show the state of an entry instance.")
	f.attach(status, operatorsUsage)
	drain := newSubcommand("drain", "Start a graceful shutdown of an entry instance.")
	f.attach(drain, operatorsUsage)
	return []command{
		{status, func() int { return showStatus(&f, http.MethodGet, grwire.StatusPath) }},
		{drain, func() int { return showStatus(&f, http.MethodPost, grwire.DrainPath) }},
	}
}

func showStatus(f *clientFlags, method, path string) int {
	var s grwire.StatusReply
	if err := f.call(method, path, nil, &s); err != nil {
		return fail(err)
	}
	if f.asJSON {
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
	f := clientFlags{addresses: defaultOperatorAddress}
	group := newSubcommand("preset", "Store, show and switch presets.")
	list := newSubcommand("list", "List the presets.")
	show := newSubcommand("show", "Show the revisions of a preset.")
	put := newSubcommand("put", "Store a new revision from a JSON file.")
	switchCommand := newSubcommand("switch", "Put a revision in force; name an earlier one to roll back.")
	diff := newSubcommand("diff", "Show what changed between two revisions of a preset.")
	status := newSubcommand("status", "Show which generation is in force on which instance.")
	for _, sub := range []*flaggy.Subcommand{list, show, put, switchCommand, diff, status} {
		f.attach(sub, operatorsUsage)
		group.AttachSubcommand(sub, 1)
	}
	var name, file, operation string
	var revision, from, to uint64
	expected := int64(-1)
	show.AddPositionalValue(&name, "NAME", 1, true, "the preset")
	diff.AddPositionalValue(&name, "NAME", 1, true, "the preset")
	diff.UInt64(&from, "", "from", "the earlier revision; 0 for the one before the later")
	diff.UInt64(&to, "", "to", "the later revision; 0 for the newest")
	put.AddPositionalValue(&file, "FILE", 1, true, "the preset as JSON")
	switchCommand.AddPositionalValue(&name, "NAME", 1, true, "the preset")
	switchCommand.UInt64(&revision, "", "revision", "the revision; 0 for the newest")
	for _, sub := range []*flaggy.Subcommand{put, switchCommand} {
		sub.String(&operation, "", "operation-id", "repeat it to settle a lost reply; made anew if empty")
		sub.Int64(&expected, "", "follows", "refuse unless this revision or generation is the newest")
	}
	return group, []command{
		{list, func() int { return listPresets(&f) }},
		{show, func() int { return showPreset(&f, name) }},
		{put, func() int { return putPreset(&f, file, operationIDOrNew(operation), expected) }},
		{switchCommand, func() int { return switchPreset(&f, name, revision, operationIDOrNew(operation), expected) }},
		{diff, func() int { return diffPreset(&f, name, from, to) }},
		{status, func() int { return presetStatus(&f) }},
	}
}

func operationIDOrNew(id string) string {
	if id == "" {
		return "op-" + randomHex()
	}
	return id
}

// preconditionOf converts the value of the "follows" flag to the revision or generation that
// must be the newest for the change to apply. It returns nil, no condition, if n is negative.
func preconditionOf(n int64) *uint64 {
	if n < 0 {
		return nil
	}
	base := uint64(n)
	return &base
}

func listPresets(f *clientFlags) int {
	var reply grwire.PresetsReply
	if err := f.call(http.MethodGet, grwire.PresetsPath, nil, &reply); err != nil {
		return fail(err)
	}
	if f.asJSON {
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

func showPreset(f *clientFlags, name string) int {
	var reply grwire.PresetHistory
	if err := f.call(http.MethodGet, grwire.PresetsPath+"/"+name, nil, &reply); err != nil {
		return fail(err)
	}
	return printJSON(reply)
}

// diffPreset prints the values that differ between two revisions of a preset.
func diffPreset(f *clientFlags, name string, from, to uint64) int {
	var reply grwire.PresetHistory
	if err := f.call(http.MethodGet, grwire.PresetsPath+"/"+name, nil, &reply); err != nil {
		return fail(err)
	}
	if to == 0 {
		to = reply.Revisions[len(reply.Revisions)-1].Preset.Revision
	}
	if from == 0 {
		from = to - 1
	}
	a, b := revisionLines(&reply, from), revisionLines(&reply, to)
	if a == nil || b == nil {
		return fail(grerror.New(grerror.UnknownPreset, "preset %s has no revisions %d and %d", name, from, to))
	}
	for _, line := range linesNotIn(a, b) {
		fmt.Println("-", line)
	}
	for _, line := range linesNotIn(b, a) {
		fmt.Println("+", line)
	}
	return exitDone
}

// revisionLines returns one line for each value of a revision, or nil if there is no such
// revision.
func revisionLines(h *grwire.PresetHistory, revision uint64) []string {
	for _, r := range h.Revisions {
		if r.Preset.Revision == revision {
			return r.Preset.Lines()
		}
	}
	return nil
}

// linesNotIn returns the lines of a that are not in b.
func linesNotIn(a, b []string) []string {
	return slices.DeleteFunc(slices.Clone(a), func(line string) bool { return slices.Contains(b, line) })
}

func putPreset(f *clientFlags, file, operation string, expected int64) int {
	data, err := os.ReadFile(file)
	if err != nil {
		return failUsage(errors.Wrap(err, "preset"))
	}
	request := grwire.PutPresetRequest{Operation: operation, IfRevision: preconditionOf(expected)}
	if err := grwire.Decode(data, &request.Preset); err != nil {
		return failUsage(errors.Wrap(err, file))
	}
	if _, err := grwire.PresetFrom(&request.Preset); err != nil {
		return failUsage(errors.Wrap(err, file))
	}
	var reply grwire.PutPresetReply
	if err := f.call(http.MethodPost, grwire.PresetsPath, request, &reply); err != nil {
		return fail(err)
	}
	if f.asJSON {
		return printJSON(reply)
	}
	fmt.Printf("stored %s revision %d by operation %s\n", reply.Name, reply.Revision, operation)
	return exitDone
}

func switchPreset(f *clientFlags, name string, revision uint64, operation string, expected int64) int {
	request := grwire.SwitchRequest{Operation: operation, Name: name, Revision: revision, IfGeneration: preconditionOf(expected)}
	var reply grwire.ActiveWire
	if err := f.call(http.MethodPost, grwire.SwitchPath, request, &reply); err != nil {
		return fail(err)
	}
	if f.asJSON {
		return printJSON(reply)
	}
	fmt.Printf("accepted: %s revision %d, generation %d, by operation %s\n",
		reply.Preset.Name, reply.Preset.Revision, reply.Generation, operation)
	return exitDone
}

func presetStatus(f *clientFlags) int {
	var s grwire.PresetStatus
	if err := f.call(http.MethodGet, grwire.PresetStatusPath, nil, &s); err != nil {
		return fail(err)
	}
	if f.asJSON {
		return printJSON(s)
	}
	fmt.Printf("generation %d\n", s.Generation)
	for _, i := range s.Instances {
		fmt.Printf("  %-12s %-10s %-8s generation %d after %d ms\n", i.Instance, i.Domain, i.State, i.Generation, i.TookMS)
	}
	return exitDone
}
