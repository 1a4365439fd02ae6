package grstanddemo

import (
	"fmt"
	"net"

	"geraniumrouter/standin/grstanddata"
	"geraniumrouter/state/grident"
)

// Range of ports that FindFreePort tries.
const (
	firstPort = 23000
	lastPort  = 32000 // exclusive
	portStep  = 300   // more than a deployment uses
)

// PortInUseError is the error that an address of a deployment is in use.
type PortInUseError struct{ Address grident.Address }

// Error names the address.
func (e *PortInUseError) Error() string { return fmt.Sprintf("port in use: %s", e.Address) }

// FindFreePort returns a port for a Layout whose addresses are all free. If there is
// none, the error is the PortInUseError of the last port tried.
func FindFreePort(d grstanddata.Deployment) (int, error) {
	var err error
	for port := firstPort; port < lastPort; port += portStep {
		if err = (Layout{Port: port}).CheckFree(d); err == nil {
			return port, nil
		}
	}
	return 0, err
}

// CheckFree returns a PortInUseError for the first address of the layout on
// which it cannot listen, or nil. It does not check the addresses of
// DomainControlAddress.
func (l Layout) CheckFree(d grstanddata.Deployment) error {
	addresses := []grident.Address{l.PlatformAddress(), l.ControlAddress()}
	for i := range EntryCount {
		addresses = append(addresses, l.CallerAddress(i), l.OperatorAddress(i), l.PeerAddress(i))
	}
	for _, s := range l.Searchers(d) {
		addresses = append(addresses, grident.Address(s.Address))
	}
	for _, a := range addresses {
		listener, err := net.Listen("tcp", string(a))
		if err != nil {
			return &PortInUseError{a}
		}
		listener.Close()
	}
	return nil
}
