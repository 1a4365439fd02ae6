package grwire

import "github.com/fxamacker/cbor/v2"

// Frame carries a message over net/rpc as CBOR. Its field is unexported because
// encoding/gob would describe the types of exported fields on each new connection.
type Frame[T any] struct{ message *T }

// NewFrame wraps a message in a frame.
func NewFrame[T any](message *T) Frame[T] { return Frame[T]{message} }

// Message returns the wrapped message, or nil for the zero frame.
func (f Frame[T]) Message() *T { return f.message }

// GobEncode encodes the message as CBOR.
func (f Frame[T]) GobEncode() ([]byte, error) { return cbor.Marshal(f.message) }

// GobDecode decodes the message from CBOR.
func (f *Frame[T]) GobDecode(data []byte) error {
	f.message = new(T)
	return cbor.Unmarshal(data, f.message)
}
