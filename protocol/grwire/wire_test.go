package grwire

import (
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"geraniumrouter/coordination/grclaim"
	"geraniumrouter/coordination/grcluster"
	"geraniumrouter/coordination/grconnlimit"
	"geraniumrouter/coordination/grdispatch"
	"geraniumrouter/coordination/grgossip"
	"geraniumrouter/state/grident"
	"geraniumrouter/state/grpreset"
	"geraniumrouter/state/grsnapshot"
)

func preset() grpreset.Preset {
	policy := grpreset.CollectionPolicy{Deadline: 300, MinCoverage: 0.9, AllowPartial: true, Weight: 10}
	return grpreset.Preset{
		Name: "peak", Revision: 3, HedgeBudget: 0.04, RetryBudget: 0.05, MaxQueries: 10, MaxQueue: 20, Default: policy,
		Collections:           map[grident.Collection]grpreset.CollectionPolicy{"dispatch": {Deadline: 100, MinCoverage: 1, Weight: 1}},
		ServicesInMaintenance: []grident.Service{"dispatch-01"}, SearchersInMaintenance: []grident.SearcherID{"dispatch-02/1"},
	}
}

// TestActivePointer checks that an active pointer survives encoding and decoding.
func TestActivePointer(t *testing.T) {
	want := grpreset.ActivePointer{
		Active:  &grpreset.ActivePreset{Generation: 2, Preset: preset(), Operation: "op", SwitchedAt: 5},
		History: []grpreset.SwitchRecord{{Generation: 2, Operation: "op", Name: "peak", Revision: 3, At: 5}},
	}
	got, err := DecodePointer(EncodePointer(want))
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("%+v, %v", got, err)
	}
}

// TestLedger checks that a ledger survives encoding and decoding.
func TestLedger(t *testing.T) {
	want := grclaim.Ledger{ExpiredBefore: 3, FencingWrites: 4, Entries: map[grident.RequestID]grclaim.Entry{
		"1-a": {Token: "t", State: grclaim.Done, Text: "ran"},
	}}
	got, err := DecodeLedger(EncodeLedger(want))
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("%+v, %v", got, err)
	}
}

// TestPeerMessage checks that a message with items of most kinds survives encoding and
// decoding.
func TestPeerMessage(t *testing.T) {
	member := grconnlimit.Member{ID: "entry-1", Incarnation: 7}
	active := grpreset.ActivePreset{Generation: 1, Preset: preset()}
	shardMap := &grsnapshot.ShardMap{
		Collection: "c", Snapshot: grsnapshot.Snapshot{IndexVersion: 1, MapVersion: 2},
		Shards: []grsnapshot.Shard{{Range: grsnapshot.Range{From: 0, To: 9}, Service: "s"}},
	}
	group := grgossip.Message[grcluster.Value]{Items: []grcluster.Item{
		{Key: "h", Version: 1, Value: grcluster.Value{Kind: grcluster.DivisorKind, Publisher: member, PublishedDivisor: grconnlimit.PublishedDivisor{Divisor: 2, CountedMembers: []grconnlimit.Member{member}}}},
		{Key: "r", Version: 1, Value: grcluster.Value{Kind: grcluster.RegisteredMemberKind, Publisher: member}},
	}}
	want := grcluster.Message{From: member, Load: 3, Capacity: 448, GroupItems: &group, Items: grgossip.Message[grcluster.Value]{
		Digest: 5, BucketDigests: []grgossip.Digest{1, 2}, BucketIndexes: []uint8{1},
		Listed: []grgossip.KeyVersion{{Key: "k", Version: 4}}, Requested: []grgossip.Key{"w"},
		Items: []grcluster.Item{
			{Key: "m", Version: 1, Value: grcluster.Value{Kind: grcluster.MemberKind, Member: grcluster.Member{Member: member, PeerAddress: "p", CallerAddress: "c", Domain: "d", Capacity: 192}}},
			{Key: "s", Version: 1, Value: grcluster.Value{Kind: grcluster.SearcherKind, Searcher: grcluster.Searcher{ID: "s/1", Incarnation: 1, Service: "s", Address: "a", Domain: "d", Slots: 2, ConnLimit: 25}}},
			{Key: "l", Version: 1, Value: grcluster.Value{Kind: grcluster.DepartureKind, Departure: grcluster.Departure{Searcher: "s/1", Incarnation: 7, Address: "a"}}},
			{Key: "p", Version: 1, Value: grcluster.Value{Kind: grcluster.PresetKind, Preset: &active}},
			{Key: "x", Version: 1, Value: grcluster.Value{Kind: grcluster.ShardMapKind, ShardMap: shardMap}},
		},
	}}
	sent := PeerMessageTo(&want)
	data, err := EncodePeer(&sent)
	if err != nil {
		t.Fatal(err)
	}
	w, err := DecodePeer(data)
	if err != nil {
		t.Fatal(err)
	}
	if got := PeerMessageFrom(&w); !reflect.DeepEqual(got, want) {
		t.Errorf("got  %+v\nwant %+v", got, want)
	}
}

// TestReplyToAnotherRequest checks that a reply to another request counts as failed
// and that its records are dropped.
func TestReplyToAnotherRequest(t *testing.T) {
	request := SearchRequest{Attempt: 1, Index: 2, Map: 3, From: 4, To: 5}
	matching := SearchReply{Attempt: 1, Status: "ok", Index: 2, Map: 3, From: 4, To: 5, Records: []RecordWire{{Key: 4, ID: "a"}}}
	if r := ReplyFor(&request, &matching); r.Kind != grdispatch.OK || len(r.Records) != 1 {
		t.Errorf("matching reply converted to %+v", r)
	}
	for name, change := range map[string]func(r *SearchReply){
		"attempt": func(r *SearchReply) { r.Attempt++ },
		"index":   func(r *SearchReply) { r.Index++ },
		"map":     func(r *SearchReply) { r.Map++ },
		"from":    func(r *SearchReply) { r.From++ },
		"to":      func(r *SearchReply) { r.To++ },
		"status":  func(r *SearchReply) { r.Status = "fine" },
	} {
		mismatched := matching
		change(&mismatched)
		if r := ReplyFor(&request, &mismatched); r.Kind != grdispatch.Failed || len(r.Records) != 0 {
			t.Errorf("reply with a different %s converted to %+v", name, r)
		}
	}
}

// TestExamples checks that the example presets are valid.
func TestExamples(t *testing.T) {
	files, err := filepath.Glob("../../examples/*/*.json")
	if err != nil || len(files) != 6 {
		t.Fatalf("%d example files, want 6; %v", len(files), err)
	}
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		var w PresetWire
		if decodeErr := Decode(data, &w); decodeErr != nil {
			t.Errorf("%s: %v", file, decodeErr)
		}
		if _, err := PresetFrom(&w); err != nil {
			t.Errorf("%s: %v", file, err)
		}
	}
}

// FuzzPreset checks that an accepted preset is within bounds and survives conversion to
// the wire form and back.
func FuzzPreset(f *testing.F) {
	accepted := preset()
	f.Add(Encode(PresetTo(&accepted)))
	f.Add([]byte(`{"name":"x","hedge_budget":-1}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var w PresetWire
		if Decode(data, &w) != nil {
			return
		}
		p, err := PresetFrom(&w)
		if err != nil {
			return
		}
		if p.MaxQueries <= 0 || p.HedgeBudget < 0 || p.HedgeBudget > grpreset.MaxBudgetRatio || p.Default.Deadline > grpreset.MaxDeadline {
			t.Errorf("accepted a preset out of bounds: %+v", p)
		}
		again, err := PresetFrom(ptr(PresetTo(&p)))
		if err != nil || !reflect.DeepEqual(again, p) {
			t.Errorf("%+v converts back to %+v, %v", p, again, err)
		}
	})
}

// FuzzShardMap checks that the first and last key of each shard of an accepted map are
// found in that shard.
func FuzzShardMap(f *testing.F) {
	f.Add([]byte(`{"collection":"c","index":1,"map":1,"shards":[{"from":0,"to":5,"service":"a"},{"from":5,"to":9,"service":"b"}]}`))
	f.Add([]byte(`{"collection":"c","shards":[{"from":3,"to":2,"service":"a"}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var w MapWire
		if json.Unmarshal(data, &w) != nil {
			return
		}
		m, err := ShardMapFrom(&w)
		if err != nil {
			return
		}
		for i, s := range m.Shards {
			if m.Find(s.Range.From) != i || m.Find(s.Range.To-1) != i {
				t.Errorf("shard %d of %+v is not found by its first and last key", i, m.Shards)
			}
		}
	})
}

func ptr[T any](v T) *T { return &v }
