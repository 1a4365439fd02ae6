package grnode

import (
	"go.uber.org/zap"

	"geraniumrouter/coordination/grcluster"
)

// publishDepartures informs the other instances of the searchers that said in their answers to
// this one that they leave.
func (l *routerLoop) publishDepartures() {
	for _, d := range l.out.Departures {
		departure := grcluster.Departure(d)
		l.node.controlLoop.post(controlEvent{departure: &departure})
	}
}

// maxDepartureLines bounds the log lines for announcements that are learned at once.
const maxDepartureLines = 10

// logDepartures logs the searchers of which it is known from now on that they leave.
func (c *controlLoop) logDepartures() {
	for i, d := range c.out.Departures {
		if i == maxDepartureLines {
			c.node.Log.Info("further searchers leave", zap.Int("searchers", len(c.out.Departures)-i))
			return
		}
		c.node.Log.Info("searcher leaves", zap.String("searcher", string(d.Searcher)), zap.String("address", string(d.Address)))
	}
}
