package grnode

import (
	"crypto/tls"

	"geraniumrouter/state/grsettings"
	"geraniumrouter/transport/grtls"
)

// secure holds the TLS configurations of the ports; nil stands for plain TCP.
type secure struct {
	callers, peers, operators *tls.Config
	links                     *tls.Config // for calling peers
}

// secure reads the certificates that the settings name.
func (n *Node) secure() (secure, error) {
	var s secure
	var err error
	server := func(t grsettings.TLS) *tls.Config {
		if !t.On() || err != nil {
			return nil
		}
		var config *tls.Config
		config, err = n.files(t).Server()
		return config
	}
	s.callers = server(n.Settings.CallersTLS)
	s.peers = server(n.Settings.PeersTLS)
	s.operators = server(n.Settings.OperatorsTLS)
	if err == nil && n.Settings.PeersTLS.On() {
		s.links, err = n.files(n.Settings.PeersTLS).Client()
	}
	return s, err
}

func (n *Node) files(t grsettings.TLS) *grtls.Files {
	return &grtls.Files{Certificate: t.Certificate, Key: t.Key, ClientCA: t.ClientCA, Clock: n.Clock}
}
