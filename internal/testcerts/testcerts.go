// Package testcerts issues certificates for tests, signed by an authority that is created for one test. It writes files
// only into directories that its caller names.
package testcerts

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/url"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// Authority is a certificate authority. Its methods must not be called concurrently.
type Authority struct {
	t          testing.TB
	cert       *x509.Certificate
	key        *ecdsa.PrivateKey
	lastSerial int64
	PEM        []byte
}

// New creates an authority that is valid for an hour.
func New(t testing.TB) *Authority {
	t.Helper()
	a := &Authority{t: t, key: Key(t)}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &a.key.PublicKey, a.key)
	if err == nil {
		a.cert, err = x509.ParseCertificate(der)
	}
	if err != nil {
		t.Fatal(err)
	}
	a.PEM = pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	return a
}

// Key generates a private key.
func Key(t testing.TB) *ecdsa.PrivateKey {
	t.Helper()
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return k
}

// Issue issues a certificate with its key, both in PEM, for names (DNS names, IP addresses or URIs). change, which
// edits the certificate, may be nil.
func (a *Authority) Issue(change func(*x509.Certificate), names ...string) (cert, key []byte) {
	a.t.Helper()
	a.lastSerial++
	template := &x509.Certificate{
		SerialNumber: big.NewInt(100 + a.lastSerial), Subject: pkix.Name{CommonName: names[0]},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		KeyUsage:    x509.KeyUsageDigitalSignature,
	}
	for _, name := range names {
		if ip := net.ParseIP(name); ip != nil {
			template.IPAddresses = append(template.IPAddresses, ip)
		} else if uri, err := url.Parse(name); err == nil && uri.Scheme != "" {
			template.URIs = append(template.URIs, uri)
		} else {
			template.DNSNames = append(template.DNSNames, name)
		}
	}
	if change != nil {
		change(template)
	}
	private := Key(a.t)
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &private.PublicKey, a.key)
	if err != nil {
		a.t.Fatal(err)
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(private)
	if err != nil {
		a.t.Fatal(err)
	}
	cert = pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	key = pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: keyDER})
	return cert, key
}

// WriteFiles writes files into a directory and returns a function that returns their paths.
func WriteFiles(t testing.TB, dir string, files map[string][]byte) func(name string) string {
	t.Helper()
	for name, text := range files {
		if err := os.WriteFile(filepath.Join(dir, name), text, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return func(name string) string { return filepath.Join(dir, name) }
}

// Pool returns a pool with the authority's certificate.
func (a *Authority) Pool() *x509.CertPool {
	pool := x509.NewCertPool()
	pool.AddCert(a.cert)
	return pool
}
