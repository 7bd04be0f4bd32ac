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

// Each pair is independent of the others: an invalid pair, and one that has not changed, leave its
// certificate in force. Each invalid content is reported once.
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
	at := func(n string) Pair { return Pair{dir + "/" + n + "c", dir + "/" + n + "k"} }
	s, err := New([]Pair{at("1"), at("2")}, os.ReadFile, time.Now, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	hello := func(name string) *tls.ClientHelloInfo {
		return &tls.ClientHelloInfo{ServerName: name, SupportedVersions: []uint16{tls.VersionTLS13},
			SignatureSchemes: []tls.SignatureScheme{tls.ECDSAWithP256AndSHA256},
			SupportedCurves:  []tls.CurveID{tls.CurveP256}}
	}
	serial := func(name string) string {
		c, err := s.GetCertificate(hello(name))
		if err != nil {
			return err.Error()
		}
		return c.Leaf.SerialNumber.String()
	}
	of := func(cert []byte) string {
		c, err := tls.X509KeyPair(cert, map[bool][]byte{true: k1, false: k2}[string(cert) == string(c1)])
		if err != nil {
			t.Fatal(err)
		}
		return c.Leaf.SerialNumber.String()
	}
	one, two := of(c1), of(c2)
	for name, want := range map[string]string{"a.example": one, "A.Example.": one, "x.b.example": two,
		"b.example": two, "x.y.b.example": one, "": one, "else": one} {
		if got := serial(name); got != want {
			t.Errorf("%q: %s, want %s", name, got, want)
		}
	}
	c3, k3 := pair(nil, "a.example")
	write("1", c3, k3)
	expired, ek := pair(func(c *x509.Certificate) { c.NotAfter = time.Now().Add(-time.Minute) }, "b.example")
	write("2", expired, ek)
	err = s.Reload()
	if p, ok := errors.AsType[*PairError](err); !ok || p.Index != 1 || !strings.Contains(err.Error(), "ended on") {
		t.Errorf("an ended one: %v", err)
	}
	if serial("a.example") == one || serial("b.example") != two {
		t.Errorf("%s and %s", serial("a.example"), serial("b.example"))
	}
	was := serial("a.example")
	if err := s.Reload(); err != nil || serial("a.example") != was || serial("b.example") != two {
		t.Errorf("again: %v", err)
	}
	later, lk := pair(func(c *x509.Certificate) { c.NotBefore = time.Now().Add(time.Minute) }, "b.example")
	write("2", later, lk)
	if err := s.Reload(); err == nil || !strings.Contains(err.Error(), "begins on") {
		t.Errorf("one that is not yet: %v", err)
	}
	if h := hello("a.example"); true {
		h.SignatureSchemes = []tls.SignatureScheme{tls.PSSWithSHA256}
		if _, err := s.GetCertificate(h); !errors.Is(err, ErrNoCertificate) {
			t.Errorf("a client that can't use any: %v", err)
		}
	}
	if unused := s.Set().Unused([]string{"a.example", "*.b.example"}); len(unused) != 1 || unused[0] != "b.example" {
		t.Errorf("unused: %v", unused)
	}
}
