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
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grident"
	"geraniumrouter/state/grrequestid"
	"geraniumrouter/transport/grclient"
	"geraniumrouter/transport/grtls"
)

// clientFlags holds the flags for the instance to call, the credentials and the output format.
type clientFlags struct {
	addresses string
	domain    string
	token     string
	asJSON    bool

	caFile, certificateFile, keyFile string // PEM file paths, for ports with TLS
}

func (f *clientFlags) attach(sub *flaggy.Subcommand, usage string) {
	sub.String(&f.addresses, "e", "entries", usage)
	sub.String(&f.domain, "", "failure-domain", "the caller's failure domain")
	sub.String(&f.token, "", "token", "the operators' token; else from GERANIUMROUTER_TOKEN")
	sub.String(&f.caFile, "", "ca", "file of the authority of the port's certificate; turns TLS on")
	sub.String(&f.certificateFile, "", "certificate", "file of the certificate to show")
	sub.String(&f.keyFile, "", "certificate-key", "file of its key")
	sub.Bool(&f.asJSON, "", "json", "print JSON for programs")
}

func (f *clientFlags) client() (*grclient.Client, error) {
	c := &grclient.Client{Clock: grclock.System(), Domain: grident.FailureDomain(f.domain), Token: f.token}
	if f.caFile != "" {
		files := &grtls.CertificateFiles{Certificate: f.certificateFile, Key: f.keyFile, ClientCA: f.caFile, Clock: c.Clock}
		config, err := files.Client()
		if err != nil {
			return nil, err
		}
		c.TLS = config
	}
	if c.Token == "" {
		c.Token = os.Getenv("GERANIUMROUTER_TOKEN")
	}
	for _, a := range strings.Split(f.addresses, ",") {
		c.Seeds = append(c.Seeds, grident.Address(strings.TrimSpace(a)))
	}
	return c, nil
}

const (
	callersUsage           = "callers' addresses of entry instances, apart by commas"
	operatorsUsage         = "operators' address of an entry instance"
	defaultCallerAddress   = "127.0.0.1:23010"
	defaultOperatorAddress = "127.0.0.1:23030"
	defaultDeadlineMS      = 300
)

func callerCommands() []command {
	f := clientFlags{addresses: defaultCallerAddress}
	queryRequest := grwire.QueryRequest{DeadlineMS: defaultDeadlineMS}
	query := newSubcommand("query", "Ask for the records of a collection.")
	f.attach(query, callersUsage)
	query.AddPositionalValue(&queryRequest.Collection, "COLLECTION", 1, true, "the collection to ask")
	query.String(&queryRequest.Text, "", "text", "the query text given to the searchers")
	query.Int64(&queryRequest.DeadlineMS, "", "deadline-ms", "the longest time to take")

	onceRequest := grwire.OnceRequest{DeadlineMS: defaultDeadlineMS}
	request := newSubcommand("request", "Run a request that is not idempotent, at most once.")
	f.attach(request, callersUsage)
	request.AddPositionalValue(&onceRequest.Collection, "COLLECTION", 1, true, "the collection to ask")
	request.UInt64(&onceRequest.Key, "", "key", "the key that decides on the shard")
	request.String(&onceRequest.RequestID, "", "request-id", "repeat it to try again; made anew if empty")
	request.String(&onceRequest.Text, "", "text", "the text given to the searcher")
	request.Int64(&onceRequest.DeadlineMS, "", "deadline-ms", "the longest time to take")

	entries := newSubcommand("entries", "List the entry instances to use.")
	f.attach(entries, callersUsage)
	return []command{
		{query, func() int { return runQuery(&f, queryRequest) }},
		{request, func() int { return runRequest(&f, onceRequest) }},
		{entries, func() int { return runEntries(&f) }},
	}
}

func runQuery(f *clientFlags, request grwire.QueryRequest) int {
	c, err := f.client()
	if err != nil {
		return failUsage(err)
	}
	answer, err := c.Query(context.Background(), request)
	if err != nil {
		return fail(err)
	}
	return printAnswer(f, &answer)
}

func runRequest(f *clientFlags, request grwire.OnceRequest) int {
	if request.RequestID == "" {
		request.RequestID = string(grrequestid.New(grclock.System().Now(), randomHex()))
	}
	if !f.asJSON {
		fmt.Println("request id:", request.RequestID)
	}
	c, err := f.client()
	if err != nil {
		return failUsage(err)
	}
	answer, err := c.Request(context.Background(), request)
	if err != nil {
		return fail(err)
	}
	return printAnswer(f, &answer)
}

func runEntries(f *clientFlags) int {
	c, err := f.client()
	if err != nil {
		return failUsage(err)
	}
	reply, err := c.FetchEntries(context.Background(), c.Seeds[0])
	if err != nil {
		return fail(err)
	}
	if f.asJSON {
		return printJSON(reply)
	}
	fmt.Printf("use for %d ms:\n", reply.TTLMS)
	for _, e := range reply.Entries {
		fmt.Printf("  %-12s %-22s %s\n", e.Instance, e.Address, e.Domain)
	}
	return exitDone
}

// printAnswer prints an answer and returns the exit code: 0 for the outcomes done and
// partial only.
func printAnswer(f *clientFlags, a *grwire.Answer) int {
	code := exitFailed
	if a.Outcome == "done" || a.Outcome == "partial" {
		code = exitDone
	}
	if f.asJSON {
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
		return fail(err)
	}
	fmt.Println(string(data))
	return exitDone
}

func randomHex() string {
	var b [8]byte
	_, _ = rand.Read(b[:]) // crypto/rand.Read never returns an error.
	return hex.EncodeToString(b[:])
}
