package grtls

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"geraniumrouter/state/grclock"
)

// newCA makes a CA and returns a function that issues certificates for loopback
// addresses and writes them to the folder.
func newCA(t *testing.T, folder, name string) (caFile string, issue func(name string) (cert, key string)) {
	t.Helper()
	caKey := newKey(t)
	ca := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name}, IsCA: true, BasicConstraintsValid: true,
		NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, ca, ca, &caKey.PublicKey, caKey)
	if err != nil {
		t.Fatal(err)
	}
	caFile = write(t, folder, name+".ca", "CERTIFICATE", der)
	return caFile, func(name string) (string, string) {
		key := newKey(t)
		leaf := &x509.Certificate{
			SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: name},
			NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
			ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		}
		der, err := x509.CreateCertificate(rand.Reader, leaf, ca, &key.PublicKey, caKey)
		if err != nil {
			t.Fatal(err)
		}
		keyDER, err := x509.MarshalECPrivateKey(key)
		if err != nil {
			t.Fatal(err)
		}
		return write(t, folder, name+".pem", "CERTIFICATE", der), write(t, folder, name+".key", "EC PRIVATE KEY", keyDER)
	}
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

func write(t *testing.T, folder, name, kind string, der []byte) string {
	t.Helper()
	file := filepath.Join(folder, name)
	if err := os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

// connect connects a client to a server with the given configurations, transfers one byte
// and returns the common name of the server's certificate.
func connect(t *testing.T, server, client *tls.Config) (name string, err error) {
	t.Helper()
	listener, err := tls.Listen("tcp", "127.0.0.1:0", server)
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	go func() {
		conn, err := listener.Accept()
		if err == nil {
			_, _ = conn.Write([]byte{1})
			conn.Close()
		}
	}()
	conn, err := tls.Dial("tcp", listener.Addr().String(), client)
	if err != nil {
		return "", err
	}
	defer conn.Close()
	if _, err := conn.Read(make([]byte, 1)); err != nil {
		return "", err
	}
	return conn.ConnectionState().PeerCertificates[0].Subject.CommonName, nil
}

// TestMutualTLS checks that only clients with a certificate of the CA are accepted, and
// that the server reloads a changed certificate.
func TestMutualTLS(t *testing.T) {
	folder, clock := t.TempDir(), grclock.System()
	ca, issue := newCA(t, folder, "ca")
	_, issueUntrusted := newCA(t, folder, "other")
	cert, key := issue("first")
	server := &CertificateFiles{Certificate: cert, Key: key, ClientCA: ca, Clock: clock}
	config, err := server.Server()
	if err != nil {
		t.Fatal(err)
	}
	trustedCert, trustedKey := issue("trusted")
	trusted := &CertificateFiles{Certificate: trustedCert, Key: trustedKey, ClientCA: ca, Clock: clock}
	untrustedCert, untrustedKey := issueUntrusted("untrusted")
	for name, c := range map[string]struct {
		files    *CertificateFiles
		accepted bool
	}{
		"trusted":   {trusted, true},
		"none":      {&CertificateFiles{ClientCA: ca, Clock: clock}, false},
		"untrusted": {&CertificateFiles{Certificate: untrustedCert, Key: untrustedKey, ClientCA: ca, Clock: clock}, false},
	} {
		client, err := c.files.Client()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := connect(t, config, client); (err == nil) != c.accepted {
			t.Errorf("client certificate %s: %v", name, err)
		}
	}
	second, secondKey := issue("second")
	server.Certificate, server.Key = second, secondKey
	server.readAt -= reloadInterval // Makes the reload due.
	client, _ := trusted.Client()
	if name, err := connect(t, config, client); name != "second" {
		t.Errorf("server certificate after the change: %q, want \"second\"; %v", name, err)
	}
}
