package grsnapshot

// Coverage sums the key ranges whose records were merged into an answer. The
// zero value covers nothing; Reset makes it ready for a plan and keeps its
// memory.
type Coverage struct {
	shards []Shard
	merged []bool
	width  uint64
	total  uint64
}

// Reset starts over for a plan of the given shards.
func (c *Coverage) Reset(shards []Shard) {
	c.shards = shards
	if cap(c.merged) < len(shards) {
		c.merged = make([]bool, len(shards))
	}
	c.merged = c.merged[:len(shards)]
	clear(c.merged)
	c.width, c.total = 0, 0
	for i := range shards {
		c.total += shards[i].Range.Width()
	}
}

// Merge notes that the records of a shard were merged, and reports false for a
// shard that is out of bounds or was merged before: its records must not be
// taken a second time.
func (c *Coverage) Merge(shard int) bool {
	if shard < 0 || shard >= len(c.shards) || c.merged[shard] {
		return false
	}
	c.merged[shard] = true
	c.width += c.shards[shard].Range.Width()
	return true
}

// Merged reports whether the shard's records were merged.
func (c *Coverage) Merged(shard int) bool { return c.merged[shard] }

// Complete reports whether every shard was merged.
func (c *Coverage) Complete() bool { return c.width == c.total }

// Fraction returns the share of the key space that was merged, in [0, 1]. It
// is 1 only when Complete.
func (c *Coverage) Fraction() float64 {
	if c.total == 0 {
		return 0
	}
	if c.Complete() {
		return 1
	}
	return min(float64(c.width)/float64(c.total), 1-1e-12)
}

// Missing returns the ranges that were not merged, adjacent ones joined.
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

// CheckRecords reports whether the records lie in the range and are strictly
// ordered by key and id, which also rules out a record that stands twice.
func CheckRecords(r Range, records []Record) bool {
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
