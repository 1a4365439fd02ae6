package grstanddemo

import (
	"fmt"
	"net"

	"geraniumrouter/standin/grstanddata"
	"geraniumrouter/state/grid"
)

// Span of ports that are tried for a deployment.
const (
	firstPort = 23000
	lastPort  = 32000
	portStep  = 300 // more than a deployment uses
)

// PortsInUse says that no span of ports is free for a deployment.
type PortsInUse struct{ Address grid.Address }

// Error describes the condition.
func (e *PortsInUse) Error() string { return fmt.Sprintf("port in use: %s", e.Address) }

// FreePort returns the first of a span of ports that are all free.
func FreePort(d grstanddata.Deployment) (int, error) {
	var err error
	for port := firstPort; port < lastPort; port += portStep {
		if err = (Layout{Port: port}).CheckFree(d); err == nil {
			return port, nil
		}
	}
	return 0, err
}

// CheckFree returns PortsInUse if something listens on an address of the
// layout.
func (l Layout) CheckFree(d grstanddata.Deployment) error {
	addresses := []grid.Address{l.Platform(), l.Control()}
	for i := range Entries {
		addresses = append(addresses, l.Callers(i), l.Operators(i), l.Peers(i))
	}
	for _, s := range l.Searchers(d) {
		addresses = append(addresses, grid.Address(s.Address))
	}
	for _, a := range addresses {
		listener, err := net.Listen("tcp", string(a))
		if err != nil {
			return &PortsInUse{a}
		}
		listener.Close()
	}
	return nil
}
