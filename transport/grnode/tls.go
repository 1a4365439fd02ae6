package grnode

import (
	"crypto/tls"

	"geraniumrouter/state/grsettings"
	"geraniumrouter/transport/grtls"
)

// tlsConfigs holds the TLS configurations of the ports; nil means plain TCP.
type tlsConfigs struct {
	callers, peers, operators *tls.Config
	peerClient                *tls.Config // for calls to peers
}

// loadTLS loads the certificates that the settings name.
func (n *Node) loadTLS() (tlsConfigs, error) {
	var configs tlsConfigs
	var err error
	serverConfig := func(t grsettings.TLSFiles) *tls.Config {
		if !t.Enabled() || err != nil {
			return nil
		}
		var config *tls.Config
		config, err = n.tlsFiles(t).Server()
		return config
	}
	configs.callers = serverConfig(n.Settings.CallersTLS)
	configs.peers = serverConfig(n.Settings.PeersTLS)
	configs.operators = serverConfig(n.Settings.OperatorsTLS)
	if err == nil && n.Settings.PeersTLS.Enabled() {
		configs.peerClient, err = n.tlsFiles(n.Settings.PeersTLS).Client()
	}
	return configs, err
}

func (n *Node) tlsFiles(t grsettings.TLSFiles) *grtls.CertificateFiles {
	return &grtls.CertificateFiles{Certificate: t.Certificate, Key: t.Key, ClientCA: t.ClientCA, Clock: n.Clock}
}
