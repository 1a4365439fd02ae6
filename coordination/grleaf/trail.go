package grleaf

import (
	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grid"
)

// Trail tells what became of a sub-request so far, so that the lack of an answer
// can be explained.
type Trail struct {
	Sent     int             // attempts dispatched that may have started
	Waiting  bool            // for a searcher with room
	Searcher grid.SearcherID // of the oldest attempt without an answer, or of the last that ended
	Age      grclock.Millis  // of that attempt without an answer; 0 where none is out
	Ended    bool            // an attempt ended, as Last says
	Last     ReplyKind
}

// Trail returns what became of a sub-request that has not ended.
func (l *Leaf) Trail(now grclock.Millis, key SubKey) Trail {
	index, ok := l.byKey[key]
	if !ok {
		return Trail{}
	}
	return l.trailOf(now, &l.subs[index])
}

func (l *Leaf) trailOf(now grclock.Millis, s *sub) Trail {
	t := Trail{Sent: int(s.sent), Waiting: s.queued, Searcher: s.lastFrom, Ended: s.ended, Last: s.last}
	for _, id := range s.attempts[:s.sent] {
		a := l.find(id)
		if a == nil || now-a.sentAt < t.Age {
			continue
		}
		t.Age, t.Searcher = max(now-a.sentAt, 1), l.replicas[a.replica].ID
	}
	return t
}

// String names the end of an attempt in logs.
func (k ReplyKind) String() string {
	return [...]string{
		OK: "ok", Shed: "shed", Draining: "draining", Behind: "behind", Gone: "gone", Failed: "failed",
		Cancelled: "cancelled", Refused: "refused", LostReply: "lost_reply", Dropped: "dropped",
	}[k]
}
