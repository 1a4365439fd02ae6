package grrouter_test

import (
	"fmt"

	"geraniumrouter/coordination/grdispatch"
	"geraniumrouter/coordination/grrouter"
	"geraniumrouter/state/grpreset"
	"geraniumrouter/state/grsnapshot"
)

// A query to one service. The caller of the router executes the actions that it
// returns.
func ExampleRouter() {
	router := &grrouter.Router{Seed: 1}
	router.Init()
	router.SetPreset(grpreset.ActivePreset{Generation: 1, Preset: grpreset.Preset{
		MaxQueries: 10, MaxQueue: 10, Default: grpreset.CollectionPolicy{Deadline: 500, Weight: 1},
	}})
	router.SetShardMap(&grsnapshot.ShardMap{
		Collection: "dispatch", Snapshot: grsnapshot.Snapshot{IndexVersion: 7, MapVersion: 1},
		Shards: []grsnapshot.Shard{{Range: grsnapshot.Range{From: 0, To: 100}, Service: "dispatch-01"}},
	})
	var out grrouter.Output
	router.SetService(0, "dispatch-01", []grdispatch.Searcher{{ID: "dispatch-01/1", Slots: 2, ConnLimit: 1}}, &out)
	open := out.Actions[0]
	out.Reset()
	router.ConnOpened(0, open.Service, open.Searcher, open.Conn, &out)
	router.StartQuery(0, grrouter.Query{Collection: "dispatch", Deadline: 500}, &out)
	send := out.Actions[0]
	out.Reset()
	router.HandleReply(8, send.Service, grdispatch.Reply{
		Attempt: send.Attempt, ReusableConn: true, Records: []grsnapshot.Record{{Key: 5, ID: "bale-5"}},
	}, &out)
	result := out.Results[0]
	fmt.Println(result.Outcome, result.Coverage, result.Snapshot.IndexVersion, len(result.Records))
	// Output: done 1 7 1
}
