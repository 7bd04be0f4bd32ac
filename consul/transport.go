package consul

import (
	"cmp"
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/hashicorp/consul/api"

	"pumicecroft/internal/unread"
)

const (
	dialTimeout      = 2 * time.Second
	keepAlivePeriod  = 5 * time.Second
	handshakeTimeout = 2 * time.Second
	idleTimeout      = time.Minute
	maxIdlePerHost   = 64
	maxHeaderBytes   = 64 << 10
	maxResponseBytes = 64 << 20
	maxTokenBytes    = 4096
)

// target is the address at which an agent or server listens.
type target struct {
	scheme string // http or https
	host   string // host:port; "localhost" for a Unix socket
	socket string // path of a Unix socket; empty for TCP
}

func parseAddress(address string) (target, error) {
	scheme, rest, found := strings.Cut(address, "://")
	if !found {
		scheme, rest = "http", address
	}
	switch scheme {
	case "unix":
		return target{scheme: "http", host: "localhost", socket: rest}, nil
	case "http", "https":
		host, _, err := net.SplitHostPort(rest)
		if err != nil || host == "" {
			return target{}, fmt.Errorf("address %q is not host:port", address)
		}
		return target{scheme: scheme, host: rest}, nil
	}
	return target{}, fmt.Errorf("address %q: scheme is not http, https or unix", address)
}

// newTransport returns a transport whose connections are unread.Conns, so that a query can see whether its
// response has begun to arrive.
func newTransport(config Config, to target) (*http.Transport, error) {
	tlsConfig, err := newTLSConfig(config, to)
	if err != nil {
		return nil, err
	}
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlivePeriod}
	dial := func(ctx context.Context, network, addr string) (net.Conn, error) {
		if to.socket != "" {
			network, addr = "unix", to.socket
		}
		conn, err := dialer.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return unread.New(conn, nil), nil
	}
	return &http.Transport{
		DialContext:            dial,
		TLSClientConfig:        tlsConfig,
		TLSHandshakeTimeout:    handshakeTimeout,
		MaxIdleConnsPerHost:    maxIdlePerHost,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}, nil
}

// newTLSConfig returns the TLS configuration for a target, or nil if the target does not use TLS.
func newTLSConfig(config Config, to target) (*tls.Config, error) {
	if to.scheme != "https" {
		if config.CAFile != "" || config.CertFile != "" || config.KeyFile != "" {
			return nil, fmt.Errorf("CA, certificate or key file is set, but address %q is not https", config.Address)
		}
		return nil, nil
	}
	tlsConfig, err := api.SetupTLSConfig(&api.TLSConfig{
		Address: cmp.Or(config.ServerName, to.host),
		CAFile:  config.CAFile,
	})
	if err != nil {
		return nil, err
	}
	if config.CertFile == "" && config.KeyFile == "" {
		return tlsConfig, nil
	}
	load := func() (*tls.Certificate, error) {
		pair, err := tls.LoadX509KeyPair(config.CertFile, config.KeyFile)
		return &pair, err
	}
	if _, err := load(); err != nil {
		return nil, err
	}
	tlsConfig.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return load() }
	return tlsConfig, nil
}

// readToken reads an ACL token from a file.
func readToken(path string) (string, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return "", err
	}
	token := strings.TrimSpace(string(text))
	if token == "" || len(token) > maxTokenBytes {
		return "", fmt.Errorf("token file %s is empty or too long", path)
	}
	return token, nil
}

// limitedTransport truncates response bodies to maxResponseBytes.
type limitedTransport struct{ http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t limitedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	res, err := t.RoundTripper.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	res.Body = struct {
		io.Reader
		io.Closer
	}{io.LimitReader(res.Body, maxResponseBytes), res.Body}
	return res, nil
}
