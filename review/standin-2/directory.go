package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"

	"geraniumrouter/state/grident"
)

// Figures of the case directory.
const (
	directoryFronts = 11
	directoryLost   = 6 // 0.545 of them; herd_kill has 0.55 on the site
	// namedAfter is stability_window_ms (5,000 in the settings) and 3 s: directories that name a lost
	// machine later than that, in more than three answers, break the rule.
	namedAfter = 8 * time.Second
)

// directory breaks DRAIN: machines are switched off for good, and the look-ups of the others go on
// naming some of them. The order in which instances send heartbeats is that of the hashes of
// their names; the lost machines follow one another in it.
func directory(d *deployment, trouble bool) (string, error) {
	d.site = dantsetu
	if err := d.configure(7, []map[string]any{route("r-1", "/timi402/", "safe", "kafi81c", 6000)}, map[string]int{"kafi81c": 440}); err != nil {
		return "", err
	}
	if _, err := d.startSearcher("kafi81c", d.site.zones[0], 6, 5*time.Millisecond); err != nil {
		return "", err
	}
	if err := d.startFronts(directoryFronts); err != nil {
		return "", err
	}
	time.Sleep(3 * time.Second) // All know each other.
	order := slices.Clone(d.fronts)
	slices.SortFunc(order, func(a, b *front) int { return cmp.Compare(grident.Hash(a.name), grident.Hash(b.name)) })
	lost, left := order[:directoryLost], order[directoryLost:]
	name := map[string]string{} // of the instance at an address for callers
	for _, f := range lost {
		name[f.callers] = f.name
	}
	for _, f := range left {
		if n := len(f.lookup(d.site)); n != directoryFronts {
			return "", fmt.Errorf("%s names %d instances before the loss", f.name, n)
		}
	}
	if trouble {
		for _, f := range lost {
			if err := f.switchOff(); err != nil {
				return "", err
			}
			d.note("%s is switched off", f.name)
		}
	}
	off := time.Now()
	wrong := 0
	for time.Since(off) < namedAfter+12*time.Second {
		for _, f := range left {
			var named []string
			for _, address := range f.lookup(d.site) {
				if n := name[address]; n != "" {
					named = append(named, n)
				}
			}
			if trouble && len(named) > 0 && time.Since(off) > namedAfter {
				wrong++
				d.note("look-up at %s, %d ms after: names %s", f.name, time.Since(off).Milliseconds(), strings.Join(named, " "))
			}
		}
		time.Sleep(time.Second)
	}
	if wrong > 3 {
		return fmt.Sprintf("DRAIN: %d look-ups named machines that had been switched off more than %v before", wrong, namedAfter), nil
	}
	return "", nil
}

// lookup asks the instance for the addresses that a client may use.
func (f *front) lookup(s site) []string {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + f.directory + "/lookup?name=" + host + "&region=" + s.region + "&zone=" + s.zones[0])
	if err != nil {
		return nil
	}
	defer response.Body.Close()
	var got struct {
		Addresses []string `json:"addrs"`
	}
	if json.NewDecoder(response.Body).Decode(&got) != nil {
		return nil
	}
	return got.Addresses
}

// switchOff kills the process and takes its addresses, so that they do not answer any more, as
// those of a machine without power.
func (f *front) switchOff() error {
	if err := f.cmd.Process.Kill(); err != nil {
		return err
	}
	<-f.done
	for _, address := range []string{f.control, f.callers, f.readiness, f.directory} {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return err
		}
		f.silent = append(f.silent, listener) // Nobody accepts its connections.
	}
	return nil
}
