package grstanddemo

import (
	"errors"
	"net"
	"testing"

	"geraniumrouter/standin/grstanddata"
)

// TestPortsInUse names the port that is in use, and finds a span beside it.
func TestPortsInUse(t *testing.T) {
	d := grstanddata.Kinoko()
	first, err := FreePort(d)
	if err != nil {
		t.Fatal(err)
	}
	taken := Layout{Port: first}.Platform()
	listener, err := net.Listen("tcp", string(taken))
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	var inUse *PortsInUse
	if err := (Layout{Port: first}).CheckFree(d); !errors.As(err, &inUse) || inUse.Address != taken {
		t.Errorf("error %v", err)
	}
	if other, err := FreePort(d); err != nil || other == first {
		t.Errorf("other span %d, error %v", other, err)
	}
}
