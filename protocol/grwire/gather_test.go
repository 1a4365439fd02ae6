package grwire

import (
	"bytes"
	"encoding/gob"
	"reflect"
	"testing"
)

// TestGatherOverGob checks that requests and answers pass through the gob codec of
// net/rpc unchanged, and that type descriptions add little to the first message.
func TestGatherOverGob(t *testing.T) {
	request := GatherRequest{
		From: "front-a-1/7", Query: 9, Group: 2, ID: "9c41", RestWanted: 3, Route: RouteWire{Name: "all", AllShards: true, MinSuccessShare: 0.95},
		Services: []string{"s1", "s2"}, ReservedSearchers: []uint16{7, 65535}, PartialDeadlineMS: -4, Method: "GET", Target: "/a/b?c", Host: "h.example",
		Header: []FieldWire{{Name: "X-Request-Id", Value: "9c41"}}, Body: []byte("text"),
	}
	answer := GatherAnswer{Services: []string{"s2"}, Signatures: []string{"3e1b.07"}, Body: []byte{1, 0, 255}, More: true}
	var wire bytes.Buffer
	encoder, decoder := gob.NewEncoder(&wire), gob.NewDecoder(&wire)
	if err := encoder.Encode(NewFrame(&request)); err != nil {
		t.Fatal(err)
	}
	if size := wire.Len(); size > 250 {
		t.Errorf("first request: %d bytes, want at most 250", size)
	}
	if err := encoder.Encode(NewFrame(&answer)); err != nil {
		t.Fatal(err)
	}
	var gotRequest Frame[GatherRequest]
	var gotAnswer Frame[GatherAnswer]
	if err := decoder.Decode(&gotRequest); err != nil || !reflect.DeepEqual(gotRequest.Message(), &request) {
		t.Errorf("%v: decoded request %+v", err, gotRequest.Message())
	}
	if err := decoder.Decode(&gotAnswer); err != nil || !reflect.DeepEqual(gotAnswer.Message(), &answer) {
		t.Errorf("%v: decoded answer %+v", err, gotAnswer.Message())
	}
}
