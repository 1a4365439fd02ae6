// Package grtls makes TLS configurations from files and follows changes of the
// files.
//
//	files := &grtls.Files{Certificate: "a.pem", Key: "a.key", ClientCA: "ca.pem", Clock: clock}
//	config, err := files.Server()
package grtls

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"sync"

	"github.com/cockroachdb/errors"

	"geraniumrouter/state/grclock"
)

// NoCertificate says that a file holds no certificate.
type NoCertificate struct{ File string }

// Error describes the fault.
func (e *NoCertificate) Error() string { return fmt.Sprintf("%s holds no certificate", e.File) }

// recheckAfter is how long a certificate is used before its files are read
// again.
const recheckAfter = 2 * grclock.Second

// Files names the files of one port. Set the exported fields before use.
type Files struct {
	Certificate string
	Key         string
	ClientCA    string // certificates of this authority are asked for; empty asks for none
	Clock       grclock.Clock

	mu      sync.Mutex
	current *tls.Certificate
	readAt  grclock.Millis
}

// Server returns the configuration of a listener.
func (f *Files) Server() (*tls.Config, error) {
	if _, err := f.certificate(); err != nil {
		return nil, err
	}
	config := &tls.Config{
		MinVersion:     tls.VersionTLS13,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return f.certificate() },
	}
	if f.ClientCA == "" {
		return config, nil
	}
	pool, err := authority(f.ClientCA)
	config.ClientCAs, config.ClientAuth = pool, tls.RequireAndVerifyClientCert
	return config, err
}

// Client returns the configuration for calling a port whose certificate is of
// the authority in ClientCA; the own certificate is shown when it is asked for.
func (f *Files) Client() (*tls.Config, error) {
	pool, err := authority(f.ClientCA)
	if err != nil {
		return nil, err
	}
	config := &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: pool}
	if f.Certificate != "" {
		config.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return f.certificate() }
	}
	return config, nil
}

// certificate returns the certificate, read again from time to time. One that
// cannot be read leaves the one before in use.
func (f *Files) certificate() (*tls.Certificate, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Clock.Now()
	if f.current != nil && now-f.readAt < recheckAfter {
		return f.current, nil
	}
	f.readAt = now
	pair, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
	if err == nil {
		f.current = &pair
	}
	if f.current == nil {
		return nil, errors.Wrap(err, "certificate")
	}
	return f.current, nil
}

func authority(file string) (*x509.CertPool, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, &NoCertificate{file}
	}
	return pool, nil
}
