package grdispatch

// Load is the load that a searcher reported with a reply.
type Load struct {
	Known  bool
	Busy   int // slots in use
	Queued int // requests waiting for a slot
	// Slowdown is the time that work takes on the searcher's machine at present, relative to
	// the usual; 0: not stated.
	Slowdown float64
}
