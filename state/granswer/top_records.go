package granswer

import (
	"bytes"
	"slices"
)

// TopRecords returns the n greatest fixed-width records of the bodies in descending
// byte order. width is the record size in bytes. Duplicate records are kept; trailing
// bytes that do not fill a record are ignored.
func TopRecords(bodies [][]byte, width, n int) []byte {
	total := 0
	for _, b := range bodies {
		total += len(b) / width
	}
	records := make([][]byte, 0, total)
	for _, b := range bodies {
		for ; len(b) >= width; b = b[width:] {
			records = append(records, b[:width])
		}
	}
	slices.SortFunc(records, func(a, b []byte) int { return bytes.Compare(b, a) })
	out := make([]byte, 0, min(n, len(records))*width)
	for _, r := range records[:min(n, len(records))] {
		out = append(out, r...)
	}
	return out
}
