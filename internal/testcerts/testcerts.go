// Package testcerts makes certificates for tests, of an authority that lives as long as the test.
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

// Authority signs certificates.
type Authority struct {
	t          testing.TB
	cert       *x509.Certificate
	key        *ecdsa.PrivateKey
	lastSerial int64
	PEM        []byte
}

// New makes one.
func New(t testing.TB) *Authority {
	t.Helper()
	a := &Authority{t: t, key: Key(t)}
	c := &x509.Certificate{SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign}
	der, err := x509.CreateCertificate(rand.Reader, c, c, &a.key.PublicKey, a.key)
	if err == nil {
		a.cert, err = x509.ParseCertificate(der)
	}
	if err != nil {
		t.Fatal(err)
	}
	a.PEM = pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	return a
}

// Key makes a key.
func Key(t testing.TB) *ecdsa.PrivateKey {
	t.Helper()
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return k
}

// Pair makes a certificate and its key, in PEM, for names and addresses; change may change it.
func (a *Authority) Issue(change func(*x509.Certificate), names ...string) (cert, key []byte) {
	a.t.Helper()
	a.lastSerial++
	c := &x509.Certificate{SerialNumber: big.NewInt(100 + a.lastSerial), Subject: pkix.Name{CommonName: names[0]}, NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}, KeyUsage: x509.KeyUsageDigitalSignature}
	for _, n := range names {
		if ip := net.ParseIP(n); ip != nil {
			c.IPAddresses = append(c.IPAddresses, ip)
		} else if u, err := url.Parse(n); err == nil && u.Scheme != "" {
			c.URIs = append(c.URIs, u)
		} else {
			c.DNSNames = append(c.DNSNames, n)
		}
	}
	if change != nil {
		change(c)
	}
	k := Key(a.t)
	der, err := x509.CreateCertificate(rand.Reader, c, a.cert, &k.PublicKey, a.key)
	if err != nil {
		a.t.Fatal(err)
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(k)
	if err != nil {
		a.t.Fatal(err)
	}
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: keyDER})
}

// Write writes texts into files of a directory, and gives their paths.
func WriteFiles(t testing.TB, dir string, files map[string][]byte) func(name string) string {
	t.Helper()
	for name, text := range files {
		if err := os.WriteFile(filepath.Join(dir, name), text, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return func(name string) string { return filepath.Join(dir, name) }
}

// Pool is the authority as one to believe.
func (a *Authority) Pool() *x509.CertPool {
	p := x509.NewCertPool()
	p.AddCert(a.cert)
	return p
}
