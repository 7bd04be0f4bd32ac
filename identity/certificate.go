package identity

import (
	"crypto/sha256"
	"crypto/x509"
	"encoding/hex"
	"errors"
	"strings"
)

// CertNameSource is the part of a client certificate that names the customer.
type CertNameSource uint8

// The sources of names.
const (
	CommonName  CertNameSource = iota
	DNSName                    // the first DNS name
	URIName                    // the first URI, such as a SPIFFE ID
	Fingerprint                // SHA-256 of the public key, in hex
)

// ClientCertRule identifies customers by client certificates, which the listener has verified.
type ClientCertRule struct {
	NameSource     CertNameSource
	DefaultPlan    string            // for customers that are not in PlanByCustomer; empty: they are rejected
	PlanByCustomer map[string]string // by customer name
}

// Identify returns the customer that a certificate names.
func (c *ClientCertRule) Identify(r *Request) (Caller, bool, error) {
	if r.ClientCert == nil {
		return Caller{}, false, nil
	}
	name := c.NameSource.nameIn(r.ClientCert)
	if name == "" {
		return Caller{}, true, errors.New("the certificate has no such name")
	}
	plan, ok := c.PlanByCustomer[name]
	if !ok {
		plan = c.DefaultPlan
	}
	if plan == "" {
		return Caller{}, true, errors.New("the certificate's name has no plan")
	}
	return Caller{Customer: customerID("certificate", name), Name: name, Plan: plan}, true, nil
}

// nameIn returns the customer's name in a certificate, or "" if there is none.
func (s CertNameSource) nameIn(cert *x509.Certificate) string {
	switch {
	case s == CommonName:
		return cert.Subject.CommonName
	case s == DNSName && len(cert.DNSNames) > 0:
		return strings.ToLower(cert.DNSNames[0])
	case s == URIName && len(cert.URIs) > 0:
		return cert.URIs[0].String()
	case s == Fingerprint:
		sum := sha256.Sum256(cert.RawSubjectPublicKeyInfo)
		return hex.EncodeToString(sum[:])
	}
	return ""
}

// HeaderNames returns nil, as the rule reads no headers.
func (c *ClientCertRule) HeaderNames() []string { return nil }

// Plans returns all plans that the rule can assign.
func (c *ClientCertRule) Plans() (plans []string) {
	if c.DefaultPlan != "" {
		plans = append(plans, c.DefaultPlan)
	}
	for _, plan := range c.PlanByCustomer {
		plans = append(plans, plan)
	}
	return plans
}
