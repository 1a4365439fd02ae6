package grstanddemo

import (
	"errors"
	"net"
	"testing"

	"geraniumrouter/standin/grstanddata"
)

// TestPortInUse checks that CheckFree reports the address that is in use, and
// that FindFreePort then returns another range of ports.
func TestPortInUse(t *testing.T) {
	d := grstanddata.Kinoko()
	first, err := FindFreePort(d)
	if err != nil {
		t.Fatal(err)
	}
	used := Layout{Port: first}.PlatformAddress()
	listener, err := net.Listen("tcp", string(used))
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	var inUse *PortInUseError
	if err := (Layout{Port: first}).CheckFree(d); !errors.As(err, &inUse) || inUse.Address != used {
		t.Errorf("CheckFree returned %v, want a PortInUseError for the port in use", err)
	}
	if other, err := FindFreePort(d); err != nil || other == first {
		t.Errorf("FindFreePort returned %d, error %v; want another range of ports", other, err)
	}
}
