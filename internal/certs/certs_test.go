package certs

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"log/slog"
	"os"
	"strings"
	"testing"
	"time"

	"pumicecroft/internal/testcerts"
)

// Pairs are reloaded independently of each other. A pair that is invalid or unchanged keeps its current
// certificate. Each invalid content is reported only once.
func TestPairErrorsAreIndependent(t *testing.T) {
	a := testcerts.New(t)
	dir := t.TempDir()
	write := func(name string, cert, key []byte) {
		testcerts.WriteFiles(t, dir, map[string][]byte{name + "c": cert, name + "k": key})
	}
	pair := func(change func(*x509.Certificate), names ...string) (c, k []byte) { return a.Issue(change, names...) }
	c1, k1 := pair(nil, "a.example")
	c2, k2 := pair(nil, "*.b.example", "b.example")
	write("1", c1, k1)
	write("2", c2, k2)
	files := func(n string) Pair { return Pair{dir + "/" + n + "c", dir + "/" + n + "k"} }
	s, err := New([]Pair{files("1"), files("2")}, os.ReadFile, time.Now, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	hello := func(name string) *tls.ClientHelloInfo {
		return &tls.ClientHelloInfo{ServerName: name, SupportedVersions: []uint16{tls.VersionTLS13},
			SignatureSchemes: []tls.SignatureScheme{tls.ECDSAWithP256AndSHA256},
			SupportedCurves:  []tls.CurveID{tls.CurveP256}}
	}
	served := func(name string) string { // the serial number of the certificate for a server name
		c, err := s.GetCertificate(hello(name))
		if err != nil {
			return err.Error()
		}
		return c.Leaf.SerialNumber.String()
	}
	serial := func(cert []byte) string {
		c, err := tls.X509KeyPair(cert, map[bool][]byte{true: k1, false: k2}[string(cert) == string(c1)])
		if err != nil {
			t.Fatal(err)
		}
		return c.Leaf.SerialNumber.String()
	}
	first, second := serial(c1), serial(c2)
	for name, want := range map[string]string{"a.example": first, "A.Example.": first, "x.b.example": second,
		"b.example": second, "x.y.b.example": first, "": first, "else": first} {
		if got := served(name); got != want {
			t.Errorf("%q: got serial number %s, want %s", name, got, want)
		}
	}
	c3, k3 := pair(nil, "a.example")
	write("1", c3, k3)
	expired, expiredKey := pair(func(c *x509.Certificate) { c.NotAfter = time.Now().Add(-time.Minute) }, "b.example")
	write("2", expired, expiredKey)
	err = s.Reload()
	if p, ok := errors.AsType[*PairError](err); !ok || p.Index != 1 || !strings.Contains(err.Error(), "expired on") {
		t.Errorf("Reload of an expired certificate: got error %v, want a PairError of index 1 with \"expired on\"", err)
	}
	if served("a.example") == first || served("b.example") != second {
		t.Errorf("after Reload: got %s for a.example and %s for b.example, want not %s and %s", served("a.example"),
			served("b.example"), first, second)
	}
	reloaded := served("a.example")
	if err := s.Reload(); err != nil || served("a.example") != reloaded || served("b.example") != second {
		t.Errorf("Reload without a change: got error %v, %s for a.example and %s for b.example; want nil, %s and %s",
			err, served("a.example"), served("b.example"), reloaded, second)
	}
	future, futureKey := pair(func(c *x509.Certificate) { c.NotBefore = time.Now().Add(time.Minute) }, "b.example")
	write("2", future, futureKey)
	if err := s.Reload(); err == nil || !strings.Contains(err.Error(), "not valid before") {
		t.Errorf("Reload of a certificate that is not yet valid: got error %v, want \"not valid before\"", err)
	}
	if h := hello("a.example"); true {
		h.SignatureSchemes = []tls.SignatureScheme{tls.PSSWithSHA256}
		if _, err := s.GetCertificate(h); !errors.Is(err, ErrNoCertificate) {
			t.Errorf("client that supports no certificate: got error %v, want %v", err, ErrNoCertificate)
		}
	}
	if unused := s.Set().Unused([]string{"a.example", "*.b.example"}); len(unused) != 1 || unused[0] != "b.example" {
		t.Errorf("Unused: got %v, want [b.example]", unused)
	}
}
