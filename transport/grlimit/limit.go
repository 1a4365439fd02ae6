// Package grlimit limits how much memory the other end of a connection can make this
// process use. A LimitedReader fails when a stream exceeds its allowance, so that neither a line
// nor a header grows without limit. ReadBody allocates for the bytes that have arrived,
// whatever the stated length, and charges all but the first 16 KB of a body to a Budget
// that bodies share. The buffers for the charged part are kept by the Budget and reused, so
// that bodies that are refused leave little garbage.
//
//	reader := &grlimit.LimitedReader{Reader: conn}
//	reader.Allow(64 << 10)
//	response, err := http.ReadResponse(bufio.NewReader(reader), request)
//	body, err := grlimit.ReadBody(response.Body, response.ContentLength, 1<<20, budget)
package grlimit

import (
	"fmt"
	"io"
	"slices"
	"sync"
)

// SizeError reports that more bytes arrived than are accepted.
type SizeError struct {
	Subject string // what was too large, for the error text
	Limit   int64  // in bytes, except for interim responses, which are counted
}

// Error implements error.
func (e *SizeError) Error() string { return fmt.Sprintf("%s exceeds %d bytes", e.Subject, e.Limit) }

// BudgetError reports that a Budget of Size bytes is exhausted.
type BudgetError struct{ Size int64 }

// Error implements error.
func (e *BudgetError) Error() string {
	return fmt.Sprintf("read buffer budget of %d bytes exhausted", e.Size)
}

// LimitedReader reads up to an allowed number of bytes and fails with *SizeError beyond
// it. Until Allow is called, nothing can be read. Set the exported fields before use; a
// LimitedReader is not safe for concurrent use.
type LimitedReader struct {
	Reader    io.Reader
	Subject   string // what is read, for the error text
	allowed   int64
	remaining int64
}

// Allow sets how many more bytes may be read.
func (r *LimitedReader) Allow(n int64) { r.allowed, r.remaining = n, n }

// Read reads from Reader within the allowance.
func (r *LimitedReader) Read(into []byte) (int, error) {
	if r.remaining <= 0 {
		return 0, &SizeError{r.Subject, r.allowed}
	}
	if int64(len(into)) > r.remaining {
		into = into[:r.remaining]
	}
	n, err := r.Reader.Read(into)
	r.remaining -= int64(n)
	return n, err
}

// Budget limits the total number of bytes of all bodies or messages being read. It keeps
// the buffers of bodies for reuse, at most 4 MB of them; those in use and those kept are
// together no more than the budget. It is safe for concurrent use.
type Budget struct {
	Size int64 // set before use; 0 means 4 MB

	mu   sync.Mutex
	used int64
	free [][]byte // unused buffers of bufferBytes each
}

// Reserve reserves n bytes, or reports false if fewer are left.
func (b *Budget) Reserve(n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.used+n > b.size() {
		return false
	}
	b.used += n
	return true
}

// Release releases n reserved bytes.
func (b *Budget) Release(n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= n
}

// takeBuffer returns an empty buffer of bufferBytes.
func (b *Budget) takeBuffer() []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	last := len(b.free) - 1
	if last < 0 {
		return make([]byte, 0, bufferBytes)
	}
	buffer := b.free[last]
	b.free[last], b.free = nil, b.free[:last]
	return buffer
}

// releaseBuffers releases n reserved bytes and takes back buffers, which the caller no
// longer uses.
func (b *Budget) releaseBuffers(n int64, buffers [][]byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= n
	room := min(b.size()-b.used, maxKeptBytes)/bufferBytes - int64(len(b.free))
	for _, buffer := range buffers[:max(min(int64(len(buffers)), room), 0)] {
		b.free = append(b.free, buffer[:0])
	}
}

func (b *Budget) size() int64 {
	if b.Size > 0 {
		return b.Size
	}
	return defaultBudget
}

// Sizes in bytes.
const (
	// unchargedBytes of each body are not charged; a message up to this size is not charged,
	// and a larger one in full. So small ones never fail because of large ones.
	unchargedBytes = 16 << 10
	minBuffer      = 1 << 10
	bufferBytes    = 16 << 10 // of each buffer beyond unchargedBytes; all alike, so that any can be reused

	defaultBudget = 4 << 20
	maxKeptBytes  = 4 << 20 // of unused buffers; they are held for good, also by the largest budget
)

// ReadBody reads a complete body of the stated length, or up to its end if that is
// negative. The error is *SizeError for a body longer than limit bytes, *BudgetError if the
// budget is exhausted, and io.ErrUnexpectedEOF for a body that ends before its stated length.
func ReadBody(body io.Reader, stated, limit int64, budget *Budget) ([]byte, error) {
	if stated > limit {
		return nil, &SizeError{"body", limit}
	}
	r := bodyReader{body: body, limit: limit, budget: budget}
	defer func() { budget.releaseBuffers(r.charged, r.reusable) }()
	err := r.readAll(firstBufferSize(stated))
	switch {
	case err != nil:
		return nil, err
	case r.received < stated:
		return nil, io.ErrUnexpectedEOF
	case len(r.buffers) == 1:
		return r.buffers[0], nil
	}
	return slices.Concat(r.buffers...), nil
}

// firstBufferSize returns the size of the first buffer: one byte more than the stated
// length, so that the end of the body is seen without another buffer, but at most
// unchargedBytes.
func firstBufferSize(stated int64) int64 {
	if stated < 0 {
		return minBuffer
	}
	return min(stated+1, unchargedBytes)
}

// bodyReader reads a body into a list of buffers, so that growing copies nothing.
type bodyReader struct {
	body     io.Reader
	limit    int64
	budget   *Budget
	buffers  [][]byte
	reusable [][]byte // those of buffers that belong to the budget
	received int64    // bytes received
	capacity int64    // capacity of all buffers
	charged  int64    // bytes charged to the budget
}

func (r *bodyReader) readAll(size int64) error {
	for {
		if err := r.addBuffer(size); err != nil {
			return err
		}
		ended, err := r.fill()
		if ended || err != nil {
			return err
		}
		size = min(max(r.capacity, minBuffer), bufferBytes)
	}
}

// addBuffer adds a buffer of at most size bytes. The last one has room for one byte beyond
// the limit, so that a body that is too long is recognized.
func (r *bodyReader) addBuffer(size int64) error {
	size = min(size, r.limit+1-r.capacity)
	if size <= 0 {
		return &SizeError{"body", r.limit}
	}
	r.capacity += size
	chargeable := max(r.capacity-unchargedBytes, 0)
	if !r.budget.Reserve(chargeable - r.charged) {
		return &BudgetError{r.budget.size()}
	}
	r.charged = chargeable
	r.buffers = append(r.buffers, r.newBuffer(size))
	return nil
}

// newBuffer returns a buffer of size bytes, one of the budget's if it is for charged bytes.
func (r *bodyReader) newBuffer(size int64) []byte {
	if r.capacity <= unchargedBytes {
		return make([]byte, 0, size)
	}
	buffer := r.budget.takeBuffer()
	r.reusable = append(r.reusable, buffer)
	return buffer[:0:size]
}

// fill reads into the last buffer until it is full or the body ends.
func (r *bodyReader) fill() (ended bool, err error) {
	last := &r.buffers[len(r.buffers)-1]
	for len(*last) < cap(*last) {
		n, err := r.body.Read((*last)[len(*last):cap(*last)])
		*last = (*last)[:len(*last)+n]
		r.received += int64(n)
		switch {
		case r.received > r.limit:
			return false, &SizeError{"body", r.limit}
		case err == io.EOF:
			return true, nil
		case err != nil:
			return false, err
		}
	}
	return false, nil
}
