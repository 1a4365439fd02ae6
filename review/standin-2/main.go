// Command standin-2 runs the cases of the second review: it starts instances of the system as
// separate processes, with stand-ins for the platform's store, searchers and clients.
//
//	standin-2 CASE RECORD
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With
// TROUBLE=0 in the environment, the disruption is left out.
package main

import (
	"fmt"
	"os"
	"time"
)

// host is the host of all routes.
const host = "pupu76.example"

// cases are the cases by name. Each returns what broke the rule, or "".
var cases = map[string]func(d *deployment, trouble bool) (broken string, err error){
	"leaving":     leaving,
	"refused":     refused,
	"path":        path,
	"retry-after": retryAfter,
	"directory":   directory,
}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE RECORD")
		return 2
	}
	d, err := newDeployment(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer d.end()
	trouble := os.Getenv("TROUBLE") != "0"
	d.note("case %s, trouble %v", os.Args[1], trouble)
	type outcome struct {
		broken string
		err    error
	}
	ended := make(chan outcome, 1)
	go func() {
		broken, err := cases[os.Args[1]](d, trouble)
		ended <- outcome{broken, err}
	}()
	var o outcome
	select {
	case o = <-ended:
	case <-time.After(100 * time.Second):
		o.err = fmt.Errorf("the case took too long")
	}
	switch {
	case o.err != nil:
		d.note("could not run: %v", o.err)
		fmt.Println("could not run:", o.err)
		return 2
	case o.broken != "":
		d.note("BROKEN: %s", o.broken)
		fmt.Println("broken:", o.broken)
		return 1
	}
	d.note("held")
	fmt.Println("held")
	return 0
}

// configure writes the operator's configuration.
func (d *deployment) configure(version int, routes []map[string]any, services map[string]int) error {
	var list []map[string]any
	for name, limit := range services {
		list = append(list, map[string]any{"name": name, "health_path": "/health", "connection_limit": limit, "protocol": "h1", "tls": false})
	}
	config := map[string]any{
		"version": version, "routes": routes, "services": list,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
	if !d.store.write("config", "main", config) {
		return fmt.Errorf("the configuration was not stored")
	}
	return nil
}

// route returns a route to one service.
func route(name, prefix, kind, service string, timeoutMS int) map[string]any {
	return map[string]any{
		"name": name, "host": host, "path_prefix": prefix, "kind": kind, "timeout_ms": timeoutMS, "target_latency_ms": 400,
		"priority": 2, "service": service, "max_attempts": 2,
	}
}

// smallService starts a service as `tanaoroshi` of kinoko-search, and the instances before it.
func (d *deployment) smallService(kind string, work time.Duration) ([]*searcher, error) {
	if err := d.configure(7, []map[string]any{route("r-1", "/timi402/", kind, "kafi81c", 6000)}, map[string]int{"kafi81c": 100}); err != nil {
		return nil, err
	}
	var list []*searcher
	for i := range 4 {
		s, err := d.startSearcher("kafi81c", d.site.zones[i], 4, work)
		if err != nil {
			return nil, err
		}
		list = append(list, s)
	}
	if err := d.startFronts(5); err != nil {
		return nil, err
	}
	time.Sleep(time.Second) // Connections are opened.
	return list, nil
}
