package main

import (
	"net/http"
	"time"
)

// Figures of the case clientsLeave: the doses of its disruptions.
const (
	leaveRate   = 36 // requests a second
	leaveWork   = 90 * time.Millisecond
	leaveShare  = 0.3                    // of the clients leave early
	leaveAfter  = 200 * time.Millisecond // half of the latency objective
	slowFactor  = 12
	slowTime    = 8 * time.Second
	leaveTime   = 8 * time.Second
	leavePlay   = 40 * time.Second
	leaveCycle  = 16 * time.Second
	goneAfter   = 500 * time.Millisecond
	fewRequests = 3
)

// clientsLeave lets part of the clients leave before their deadline while one of two
// searchers is slow. The requests are not idempotent. The rule GONE is checked: no more
// than a few requests reach a searcher over half a second after their client has closed
// its connection.
func clientsLeave(r *recorder, trouble bool) (int, error) {
	p, err := startDeployment(r, unsafeRoute, 2, leaveWork)
	if err != nil {
		return cannotRun, err
	}
	time.Sleep(touchWindow)
	start := time.Now()
	next := start
	for i := 0; time.Since(start) < leavePlay; i++ {
		at := time.Since(start) % leaveCycle
		factor, leave := 1.0, time.Duration(0)
		if trouble && at < slowTime {
			factor = slowFactor
		}
		if trouble && at < leaveTime && i%10 < 10*leaveShare {
			leave = leaveAfter
		}
		p.searchers[0].slowdown.Store(&factor)
		p.clients.send(http.MethodPost, "/timi402/2f", []byte("ticket"), deadline, leave)
		next = next.Add(time.Second / leaveRate)
		time.Sleep(time.Until(next))
	}
	p.clients.group.Wait()
	time.Sleep(time.Second)
	return judgeGone(r, p), nil
}

func judgeGone(r *recorder, p *deployment) int {
	p.clients.mu.Lock()
	defer p.clients.mu.Unlock()
	p.ledger.mu.Lock()
	defer p.ledger.mu.Unlock()
	late, left := 0, 0
	for id, at := range p.clients.left {
		left++
		for _, a := range p.ledger.arrivals[id] {
			if a.at.Sub(at) > goneAfter {
				late++
				r.line("GONE", "%s reached %s %d ms after its client had left; run: %v", id, a.searcher, a.at.Sub(at).Milliseconds(), p.ledger.runs[id])
			}
		}
	}
	r.summary("%d client attempts, %d left early; requests that reached a searcher over half a second after that: %d", len(p.clients.answers), left, late)
	if late > fewRequests {
		return broken
	}
	return held
}
