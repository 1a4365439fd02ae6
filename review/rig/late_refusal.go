package main

import (
	"net/http"
	"time"
)

// Figures of the case: a deployment of the size of kinoko-search, and the doses of its
// disruptions.
const (
	rate        = 110 // requests a second
	workTime    = 28 * time.Millisecond
	greyTime    = 6500 * time.Millisecond
	greyShare   = 0.45 // of the requests of one of the two searchers are refused
	garbleTime  = 5 * time.Second
	garbleShare = 0.04 // of the answers of that searcher come a second time
	playTime    = 70 * time.Second
	cyclePeriod = 7 * time.Second
)

// lateRefusal lets one of two searchers refuse part of its requests, and hand out some of
// its answers a second time, at the point where the next response is expected. The
// requests are not idempotent. The rules TWICE and REFUSED are checked.
func lateRefusal(r *recorder, trouble bool) (int, error) {
	p, err := startDeployment(r, unsafeRoute, 2, workTime)
	if err != nil {
		return cannotRun, err
	}
	time.Sleep(touchWindow)
	playRequests(p.clients, p.searchers[0], trouble)
	p.clients.group.Wait()
	time.Sleep(time.Second)
	return judgeOnce(r, p), nil
}

// playRequests sends the requests. In each cycle, a searcher refuses requests for
// greyTime and garbles answers for garbleTime.
func playRequests(c *clients, faulty *searcher, trouble bool) {
	start := time.Now()
	next := start
	for time.Since(start) < playTime {
		at := time.Since(start) % cyclePeriod
		faulty.setFaults(shareIf(trouble && at < greyTime, greyShare), shareIf(trouble && at < garbleTime, garbleShare))
		c.send(http.MethodPost, "/timi402/2f", []byte("ticket"), deadline, 0)
		next = next.Add(time.Second / rate)
		time.Sleep(time.Until(next))
	}
}

func shareIf(on bool, share float64) float64 {
	if on {
		return share
	}
	return 0
}

// judgeOnce checks TWICE and REFUSED over all requests.
func judgeOnce(r *recorder, p *deployment) int {
	c, book := p.clients, p.ledger
	c.mu.Lock()
	defer c.mu.Unlock()
	book.mu.Lock()
	defer book.mu.Unlock()
	twice, refused := 0, 0
	for id, runs := range book.runs {
		if len(runs) > 1 {
			twice++
			r.line("TWICE", "%s was run by %v and answered %d", id, runs, c.answers[id])
		}
		switch c.answers[id] {
		case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
			refused++
			r.line("REFUSED", "%s was answered %d and run by %v", id, c.answers[id], runs)
		}
	}
	byStatus := make(map[int]int)
	for _, status := range c.answers {
		byStatus[status]++
	}
	r.summary("%d client attempts, by status %v; %d extra answers; run more than once: %d; refused though run: %d", len(c.answers), byStatus, p.searchers[0].extras.Load(), twice, refused)
	if twice > 0 || refused > 0 {
		return broken
	}
	return held
}
