package httpproxy_test

import (
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"log"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"pumicecroft"
	"pumicecroft/httpproxy"
	"pumicecroft/internal/httpproxyconfig"
	"pumicecroft/internal/operatorconfig"
)

// fixture is a proxy in an HTTP server, configured by the text of a configuration file.
type fixture struct {
	t       testing.TB
	file    operatorconfig.File
	gateway *pumicecroft.Gateway
	proxy   *httpproxy.Proxy
	addr    string
}

// parseFile parses the text of a configuration file, and adds the "listen" setting.
func parseFile(t testing.TB, text string) operatorconfig.File {
	t.Helper()
	f, err := operatorconfig.Parse([]byte("listen = \"127.0.0.1:0\"\n" + text))
	if err != nil {
		t.Fatal(err)
	}
	return f
}

// startProxy starts a proxy with the text of a configuration file.
func startProxy(t testing.TB, text string) *fixture {
	t.Helper()
	return startProxyWithDialer(t, text, nil)
}

// startProxyWithDialer is startProxy with a function that opens the connections to backends, and with
// options that take precedence over those of the file's services.
func startProxyWithDialer(t testing.TB, text string, dial func(context.Context, string, string) (net.Conn, error),
	options ...pumicecroft.Option) *fixture {
	t.Helper()
	fx := &fixture{t: t, file: parseFile(t, text)}
	var services []pumicecroft.Option
	for _, s := range fx.file.HTTP.Services {
		c, err := httpproxyconfig.Service(s, os.ReadFile, slog.Default())
		if err != nil {
			t.Fatal(err)
		}
		c.Dial = dial
		services = append(services, httpproxy.WithService(c))
	}
	var err error
	if fx.gateway, err = pumicecroft.New(fx.file.Gateway, append(services, options...)...); err != nil {
		t.Fatal(err)
	}
	fx.gateway.Update(fx.file.Backends)
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		defer cancel()
		if err := fx.gateway.Close(ctx); err != nil {
			t.Error(err)
		}
	})
	c := fx.file.HTTP.Proxy
	c.Rules = fx.rules(fx.file)
	if fx.proxy, err = httpproxy.New(fx.gateway, c); err != nil {
		t.Fatal(err)
	}
	fx.addr = startServer(t, fx.proxy, nil)
	return fx
}

func (fx *fixture) rules(f operatorconfig.File) httpproxy.Rules {
	fx.t.Helper()
	rules, err := httpproxyconfig.Rules(&f, os.ReadFile)
	if err != nil {
		fx.t.Fatal(err)
	}
	return rules
}

// startServer serves a handler on a free port, with TLS if config is not nil. It returns the address.
func startServer(t testing.TB, h http.Handler, config *tls.Config) string {
	t.Helper()
	s := httptest.NewUnstartedServer(h)
	s.Config.ErrorLog = log.New(io.Discard, "", 0)
	s.Config.MaxHeaderBytes = 128 << 10
	if config == nil {
		s.Config.Protocols = new(http.Protocols)
		s.Config.Protocols.SetHTTP1(true)
		s.Config.Protocols.SetUnencryptedHTTP2(true)
	}
	if s.TLS = config; config != nil {
		s.EnableHTTP2 = true
		s.StartTLS()
	} else {
		s.Start()
	}
	t.Cleanup(s.Close)
	return strings.TrimPrefix(strings.TrimPrefix(s.URL, "http://"), "https://")
}

// newTransport returns a transport of a client that speaks HTTP/2, with prior knowledge, or HTTP/1.1.
func newTransport(useHTTP2 bool) *http.Transport {
	transport := &http.Transport{Protocols: new(http.Protocols)}
	transport.Protocols.SetUnencryptedHTTP2(useHTTP2)
	transport.Protocols.SetHTTP1(!useHTTP2)
	return transport
}

// sendRaw sends text on a new connection and returns all that is received until the connection is
// closed or timeout has passed.
func sendRaw(t testing.TB, addr, text string, timeout time.Duration) string {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	go io.WriteString(c, text)
	c.SetReadDeadline(time.Now().Add(timeout))
	b, _ := io.ReadAll(c)
	return string(b)
}

// serviceSection returns the [[service]] section of a configuration file.
func serviceSection(name string, addrs ...string) string {
	quoted := make([]string, len(addrs))
	for i, a := range addrs {
		quoted[i] = fmt.Sprintf("%q", a)
	}
	return fmt.Sprintf("[[service]]\nname = %q\nbackends = [%s]\n", name, strings.Join(quoted, ", "))
}
