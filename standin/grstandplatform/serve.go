package grstandplatform

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"geraniumrouter/protocol/grwire"
	"geraniumrouter/state/grclock"
	"geraniumrouter/transport/grhttp"
)

// withFaults wraps a handler so that it is subject to outages and delays.
func (p *Platform) withFaults(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		f := p.faults
		p.mu.Unlock()
		if f.Outage {
			panic(http.ErrAbortHandler) // closes the connection without a response
		}
		if f.SlowMS > 0 {
			p.clock.Sleep(r.Context(), grclock.Millis(f.SlowMS))
		}
		next(w, r)
	}
}

func (p *Platform) serveList(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	p.counts.Reads["list"]++
	reply := p.list(r.URL.Query().Get("prefix"))
	p.mu.Unlock()
	grhttp.WriteJSON(w, http.StatusOK, reply)
}

func (p *Platform) serveGet(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	p.mu.Lock()
	p.counts.Reads[keyPrefix(key)]++
	o := p.read(key)
	p.mu.Unlock()
	grhttp.WriteJSON(w, http.StatusOK, o)
}

func (p *Platform) servePut(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	value, bodyErr := grwire.ReadBody(r.Body)
	expected, err := strconv.ParseUint(r.URL.Query().Get("if_version"), 10, 64)
	if bodyErr != nil || err != nil || !json.Valid(value) {
		grhttp.WriteJSON(w, http.StatusBadRequest, struct{}{})
		return
	}
	o, applied, loseReply := p.putIf(key, expected, value)
	switch {
	case loseReply:
		panic(http.ErrAbortHandler)
	case !applied:
		grhttp.WriteJSON(w, http.StatusConflict, o)
	default:
		o.Value = nil
		grhttp.WriteJSON(w, http.StatusOK, o)
	}
}

func (p *Platform) putIf(key string, expected uint64, value []byte) (o grwire.ObjectWire, applied, loseReply bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.Writes[keyPrefix(key)]++
	o = p.objects[key]
	o.Key = key
	if o.Version != expected {
		return o, false, false
	}
	o = p.write(key, value)
	if p.faults.LoseReplies > 0 {
		p.faults.LoseReplies--
		loseReply = true
	}
	return o, true, loseReply
}

func (p *Platform) serveWatch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	timeout, _ := strconv.ParseInt(r.URL.Query().Get("timeout_ms"), 10, 64)
	expiry := p.clock.NewTimer(grclock.Millis(timeout))
	defer expiry.Stop()
	p.mu.Lock()
	p.counts.Watches++
	p.mu.Unlock()
	for {
		p.mu.Lock()
		reply, available := p.changesSince(after)
		changed, outage := p.changed, p.faults.Outage
		p.mu.Unlock()
		if outage {
			panic(http.ErrAbortHandler)
		}
		if !available {
			grhttp.WriteJSON(w, http.StatusGone, struct{}{})
			return
		}
		if len(reply.Objects) > 0 {
			grhttp.WriteJSON(w, http.StatusOK, reply)
			return
		}
		select {
		case <-changed:
		case <-expiry.C:
			grhttp.WriteJSON(w, http.StatusOK, reply)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (p *Platform) serveInstances(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	p.counts.Reads["instances"]++
	reply := grwire.InstancesReply{Instances: p.instances()}
	p.mu.Unlock()
	grhttp.WriteJSON(w, http.StatusOK, reply)
}

func (p *Platform) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if json.NewDecoder(r.Body).Decode(&f) != nil {
		grhttp.WriteJSON(w, http.StatusBadRequest, struct{}{})
		return
	}
	p.SetFaults(f)
	grhttp.WriteJSON(w, http.StatusOK, f)
}

func (p *Platform) serveSetInstances(w http.ResponseWriter, r *http.Request) {
	var list grwire.InstancesReply
	if json.NewDecoder(r.Body).Decode(&list) != nil {
		grhttp.WriteJSON(w, http.StatusBadRequest, struct{}{})
		return
	}
	p.SetInstances(list.Instances)
	grhttp.WriteJSON(w, http.StatusOK, struct{}{})
}

func (p *Platform) serveCompact(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	if n := len(p.changes); n > 0 {
		p.compact(n)
	}
	p.mu.Unlock()
	grhttp.WriteJSON(w, http.StatusOK, struct{}{})
}

func (p *Platform) serveCounts(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	grhttp.WriteJSON(w, http.StatusOK, p.counts)
}

// keyPrefix returns the part of a key before the first slash, by which calls are
// counted.
func keyPrefix(key string) string {
	before, _, _ := strings.Cut(key, "/")
	return before
}
