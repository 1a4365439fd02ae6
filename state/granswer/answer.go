// Package granswer holds a searcher's HTTP response as it is relayed to the caller.
// The body is opaque: no layer in between parses it.
//
//	answer := &granswer.Answer{Status: 200, Signature: signature, Body: body}
package granswer

// Field is one HTTP header field of an answer.
type Field struct{ Name, Value string }

// Answer is the HTTP response of one searcher.
type Answer struct {
	Status    int     // HTTP status code
	Fields    []Field // end-to-end header fields, including the signature
	Signature string  // proof of which searcher ran which request; "" if absent
	Body      []byte
}

// IsSuccess reports whether the answer has a 2xx status and carries a searcher's signature.
func (a *Answer) IsSuccess() bool { return a.Status >= 200 && a.Status < 300 && a.Signature != "" }
