package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"os"
	"strings"

	"github.com/integrii/flaggy"

	"geraniumrouter/protocol/grwire"
	"geraniumrouter/state/grclaimid"
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grid"
	"geraniumrouter/transport/grclient"
	"geraniumrouter/transport/grtls"
)

// target is the flags that say whom to call and how to print.
type target struct {
	entries string
	domain  string
	token   string
	asJSON  bool

	authority, certificate, key string // files, for ports with TLS
}

func (t *target) attach(sub *flaggy.Subcommand, usage string) {
	sub.String(&t.entries, "e", "entries", usage)
	sub.String(&t.domain, "", "failure-domain", "the caller's failure domain")
	sub.String(&t.token, "", "token", "the operators' token; else from GERANIUMROUTER_TOKEN")
	sub.String(&t.authority, "", "ca", "file of the authority of the port's certificate; turns TLS on")
	sub.String(&t.certificate, "", "certificate", "file of the certificate to show")
	sub.String(&t.key, "", "certificate-key", "file of its key")
	sub.Bool(&t.asJSON, "", "json", "print JSON for programs")
}

func (t *target) client() (*grclient.Client, error) {
	c := &grclient.Client{Clock: grclock.System(), Domain: grid.FailureDomain(t.domain), Token: t.token}
	if t.authority != "" {
		files := &grtls.Files{Certificate: t.certificate, Key: t.key, ClientCA: t.authority, Clock: c.Clock}
		config, err := files.Client()
		if err != nil {
			return nil, err
		}
		c.TLS = config
	}
	if c.Token == "" {
		c.Token = os.Getenv("GERANIUMROUTER_TOKEN")
	}
	for _, a := range strings.Split(t.entries, ",") {
		c.Seeds = append(c.Seeds, grid.Address(strings.TrimSpace(a)))
	}
	return c, nil
}

const (
	callersUsage   = "callers' addresses of entry instances, apart by commas"
	operatorsUsage = "operators' address of an entry instance"
	defaultEntries = "127.0.0.1:23010"
	defaultDesk    = "127.0.0.1:23030"
	defaultLimit   = 300 // milliseconds
)

func callerCommands() []command {
	t := target{entries: defaultEntries}
	ask := grwire.QueryRequest{DeadlineMS: defaultLimit}
	query := newSub("query", "Ask for the records of a collection.")
	t.attach(query, callersUsage)
	query.AddPositionalValue(&ask.Collection, "COLLECTION", 1, true, "the collection to ask")
	query.String(&ask.Text, "", "text", "the query text given to the searchers")
	query.Int64(&ask.DeadlineMS, "", "deadline-ms", "the longest time to take")

	once := grwire.OnceRequest{DeadlineMS: defaultLimit}
	request := newSub("request", "Run a request that is not idempotent, at most once.")
	t.attach(request, callersUsage)
	request.AddPositionalValue(&once.Collection, "COLLECTION", 1, true, "the collection to ask")
	request.UInt64(&once.Key, "", "key", "the key that decides on the shard")
	request.String(&once.RequestID, "", "request-id", "repeat it to try again; made anew if empty")
	request.String(&once.Text, "", "text", "the text given to the searcher")
	request.Int64(&once.DeadlineMS, "", "deadline-ms", "the longest time to take")

	entries := newSub("entries", "List the entry instances to use.")
	t.attach(entries, callersUsage)
	return []command{
		{query, func() int { return runQuery(&t, ask) }},
		{request, func() int { return runRequest(&t, once) }},
		{entries, func() int { return runEntries(&t) }},
	}
}

func runQuery(t *target, ask grwire.QueryRequest) int {
	c, err := t.client()
	if err != nil {
		return misused(err)
	}
	answer, err := c.Query(context.Background(), ask)
	if err != nil {
		return failed(err)
	}
	return printAnswer(t, &answer)
}

func runRequest(t *target, ask grwire.OnceRequest) int {
	if ask.RequestID == "" {
		ask.RequestID = string(grclaimid.New(grclock.System().Now(), randomText()))
	}
	if !t.asJSON {
		fmt.Println("request id:", ask.RequestID)
	}
	c, err := t.client()
	if err != nil {
		return misused(err)
	}
	answer, err := c.Request(context.Background(), ask)
	if err != nil {
		return failed(err)
	}
	return printAnswer(t, &answer)
}

func runEntries(t *target) int {
	c, err := t.client()
	if err != nil {
		return misused(err)
	}
	reply, err := c.AskEntries(context.Background(), c.Seeds[0])
	if err != nil {
		return failed(err)
	}
	if t.asJSON {
		return printJSON(reply)
	}
	fmt.Printf("use for %d ms:\n", reply.TTLMS)
	for _, e := range reply.Entries {
		fmt.Printf("  %-12s %-22s %s\n", e.Instance, e.Address, e.Domain)
	}
	return exitDone
}

// printAnswer prints an answer; only done and partial exit with 0.
func printAnswer(t *target, a *grwire.Answer) int {
	code := exitFailed
	if a.Outcome == "done" || a.Outcome == "partial" {
		code = exitDone
	}
	if t.asJSON {
		printJSON(a)
		return code
	}
	fmt.Printf("%s, coverage %.4f, %d records, preset generation %d\n", a.Outcome, a.Coverage, len(a.Records), a.Generation)
	if a.Snapshot != nil {
		fmt.Printf("snapshot: index %d, shard map %d\n", a.Snapshot.Index, a.Snapshot.Map)
	}
	for _, m := range a.Missing {
		fmt.Printf("missing keys [%d,%d)\n", m.From, m.To)
	}
	if a.Code != "" {
		fmt.Printf("%s: %s\n", a.Code, a.Text)
	}
	for _, r := range a.Records {
		fmt.Printf("  %d %s %s\n", r.Key, r.ID, r.Body)
	}
	return code
}

func printJSON(message any) int {
	data, err := json.MarshalIndent(message, "", "  ")
	if err != nil {
		return failed(err)
	}
	fmt.Println(string(data))
	return exitDone
}

func randomText() string {
	var b [8]byte
	_, _ = rand.Read(b[:]) // It never fails.
	return hex.EncodeToString(b[:])
}
