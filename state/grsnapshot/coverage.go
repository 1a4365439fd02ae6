package grsnapshot

// Coverage tracks which shards' records were merged into an answer. The zero value covers
// nothing; Reset prepares it for a query plan and reuses its memory.
type Coverage struct {
	shards      []Shard
	merged      []bool
	mergedWidth uint64
	totalWidth  uint64
}

// Reset clears the coverage for a plan of the given shards.
func (c *Coverage) Reset(shards []Shard) {
	c.shards = shards
	if cap(c.merged) < len(shards) {
		c.merged = make([]bool, len(shards))
	}
	c.merged = c.merged[:len(shards)]
	clear(c.merged)
	c.mergedWidth, c.totalWidth = 0, 0
	for i := range shards {
		c.totalWidth += shards[i].Range.Width()
	}
}

// MarkMerged marks a shard as merged. It returns false if the index is out of range or the
// shard was merged before; the caller must then not add its records again.
func (c *Coverage) MarkMerged(shard int) bool {
	if shard < 0 || shard >= len(c.shards) || c.merged[shard] {
		return false
	}
	c.merged[shard] = true
	c.mergedWidth += c.shards[shard].Range.Width()
	return true
}

// Merged reports whether the shard is marked as merged. The index must be in range.
func (c *Coverage) Merged(shard int) bool { return c.merged[shard] }

// Complete reports whether every shard was merged.
func (c *Coverage) Complete() bool { return c.mergedWidth == c.totalWidth }

// Fraction returns the fraction of the key space that was merged, in [0, 1]. It is 1 only
// if Complete.
func (c *Coverage) Fraction() float64 {
	if c.totalWidth == 0 {
		return 0
	}
	if c.Complete() {
		return 1
	}
	return min(float64(c.mergedWidth)/float64(c.totalWidth), 1-1e-12)
}

// Missing returns the key ranges that were not merged. Adjacent ranges are joined.
func (c *Coverage) Missing() []Range {
	var missing []Range
	for i, s := range c.shards {
		if c.merged[i] {
			continue
		}
		last := len(missing) - 1
		if last >= 0 && missing[last].To == s.Range.From {
			missing[last].To = s.Range.To
			continue
		}
		missing = append(missing, s.Range)
	}
	return missing
}

// ValidRecords reports whether all records lie in the range and are in strictly ascending
// order of key and id, which also rules out duplicates.
func ValidRecords(r Range, records []Record) bool {
	for i := range records {
		if !r.Contains(records[i].Key) {
			return false
		}
		if i == 0 {
			continue
		}
		a, b := &records[i-1], &records[i]
		if a.Key > b.Key || (a.Key == b.Key && a.ID >= b.ID) {
			return false
		}
	}
	return true
}
