package grnode

import "go.uber.org/zap"

// noteEra passes on the era of the platform after a change of the searchers. Era 0 is that of a
// platform that has not come back from a copy yet, or that nothing was read of.
func (c *controlLoop) noteEra() {
	era := c.state.Era()
	old := c.node.platformEra.Swap(era)
	if era > old && (old > 0 || c.eraKnown) {
		c.node.Log.Warn("platform restored from a copy", zap.Uint64("era", era))
	}
	c.eraKnown = c.listedOnce
}
