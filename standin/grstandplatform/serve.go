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

// faulty lets a call fail or wait as the faults ask.
func (p *Platform) faulty(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		f := p.faults
		p.mu.Unlock()
		if f.Outage {
			panic(http.ErrAbortHandler) // ends the connection without an answer
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
	grhttp.Reply(w, http.StatusOK, reply)
}

func (p *Platform) serveGet(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	p.mu.Lock()
	p.counts.Reads[family(key)]++
	o := p.read(key)
	p.mu.Unlock()
	grhttp.Reply(w, http.StatusOK, o)
}

func (p *Platform) servePut(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	value, fault := grwire.ReadBody(r.Body)
	expected, err := strconv.ParseUint(r.URL.Query().Get("if_version"), 10, 64)
	if fault != nil || err != nil || !json.Valid(value) {
		grhttp.Reply(w, http.StatusBadRequest, struct{}{})
		return
	}
	o, applied, lose := p.putIf(key, expected, value)
	switch {
	case lose:
		panic(http.ErrAbortHandler)
	case !applied:
		grhttp.Reply(w, http.StatusConflict, o)
	default:
		o.Value = nil
		grhttp.Reply(w, http.StatusOK, o)
	}
}

func (p *Platform) putIf(key string, expected uint64, value []byte) (o grwire.ObjectWire, applied, lose bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.Writes[family(key)]++
	o = p.objects[key]
	o.Key = key
	if o.Version != expected {
		return o, false, false
	}
	o = p.write(key, value)
	if p.faults.LoseReplies > 0 {
		p.faults.LoseReplies--
		lose = true
	}
	return o, true, lose
}

func (p *Platform) serveWatch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	timeout, _ := strconv.ParseInt(r.URL.Query().Get("timeout_ms"), 10, 64)
	end := p.clock.NewAlarm(grclock.Millis(timeout))
	defer end.Stop()
	p.mu.Lock()
	p.counts.Watches++
	p.mu.Unlock()
	for {
		p.mu.Lock()
		reply, kept := p.since(after)
		changed, down := p.changed, p.faults.Outage
		p.mu.Unlock()
		if down {
			panic(http.ErrAbortHandler)
		}
		if !kept {
			grhttp.Reply(w, http.StatusGone, struct{}{})
			return
		}
		if len(reply.Objects) > 0 {
			grhttp.Reply(w, http.StatusOK, reply)
			return
		}
		select {
		case <-changed:
		case <-end.C:
			grhttp.Reply(w, http.StatusOK, reply)
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
	grhttp.Reply(w, http.StatusOK, reply)
}

func (p *Platform) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if json.NewDecoder(r.Body).Decode(&f) != nil {
		grhttp.Reply(w, http.StatusBadRequest, struct{}{})
		return
	}
	p.SetFaults(f)
	grhttp.Reply(w, http.StatusOK, f)
}

func (p *Platform) serveSetInstances(w http.ResponseWriter, r *http.Request) {
	var list grwire.InstancesReply
	if json.NewDecoder(r.Body).Decode(&list) != nil {
		grhttp.Reply(w, http.StatusBadRequest, struct{}{})
		return
	}
	p.SetInstances(list.Instances)
	grhttp.Reply(w, http.StatusOK, struct{}{})
}

func (p *Platform) serveCompact(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	if n := len(p.log); n > 0 {
		p.compact(n)
	}
	p.mu.Unlock()
	grhttp.Reply(w, http.StatusOK, struct{}{})
}

func (p *Platform) serveCounts(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	grhttp.Reply(w, http.StatusOK, p.counts)
}

// family is the part of a key before the first slash.
func family(key string) string {
	before, _, _ := strings.Cut(key, "/")
	return before
}
