// Package grtls makes TLS configurations from certificate files and reloads the
// certificate when its files change.
//
//	files := &grtls.CertificateFiles{Certificate: "a.pem", Key: "a.key", Clock: clock}
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

// NoCertificateError reports that a CA file contains no certificate.
type NoCertificateError struct{ File string }

// Error implements error.
func (e *NoCertificateError) Error() string { return fmt.Sprintf("%s contains no certificate", e.File) }

// reloadInterval is how long a certificate is used before its files are read again.
const reloadInterval = 2 * grclock.Second

// CertificateFiles names the certificate files of one port. Set the exported fields before use.
type CertificateFiles struct {
	Certificate string
	Key         string
	// ClientCA is the CA that signs the other end's certificates. A server with an empty
	// ClientCA requires no certificate.
	ClientCA string
	Clock    grclock.Clock

	mu      sync.Mutex
	current *tls.Certificate
	readAt  grclock.Millis
}

// Server returns the TLS configuration of a listener.
func (f *CertificateFiles) Server() (*tls.Config, error) {
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
	pool, err := loadCA(f.ClientCA)
	config.ClientCAs, config.ClientAuth = pool, tls.RequireAndVerifyClientCert
	return config, err
}

// Client returns the TLS configuration for a client of a port whose certificate is signed
// by the CA in ClientCA. The client presents its own certificate if there is one and the
// server requests it.
func (f *CertificateFiles) Client() (*tls.Config, error) {
	pool, err := loadCA(f.ClientCA)
	if err != nil {
		return nil, err
	}
	config := &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: pool}
	if f.Certificate != "" {
		config.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return f.certificate() }
	}
	return config, nil
}

// certificate returns the certificate, reloaded after reloadInterval. If the files cannot
// be read, the previous certificate stays in use.
func (f *CertificateFiles) certificate() (*tls.Certificate, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Clock.Now()
	if f.current != nil && now-f.readAt < reloadInterval {
		return f.current, nil
	}
	f.readAt = now
	pair, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
	if err == nil {
		f.current = &pair
	}
	if f.current == nil {
		return nil, errors.Wrap(err, "load certificate")
	}
	return f.current, nil
}

func loadCA(file string) (*x509.CertPool, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "load CA certificates")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, &NoCertificateError{file}
	}
	return pool, nil
}
