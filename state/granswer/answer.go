// Package granswer holds the answer of a searcher as it is passed on: nobody on
// the way looks into its body.
//
//	answer := &granswer.Answer{Status: 200, Signature: signature, Body: body}
package granswer

// Field is one header field of an answer.
type Field struct{ Name, Value string }

// Answer is what a searcher said.
type Answer struct {
	Status    int     // of HTTP
	Fields    []Field // end-to-end header fields, the signature among them
	Signature string  // proves which searcher ran which request; "" for none
	Body      []byte
}

// OK reports whether the answer is a success that a searcher vouches for.
func (a *Answer) OK() bool { return a.Status >= 200 && a.Status < 300 && a.Signature != "" }
