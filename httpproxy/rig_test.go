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

// rig is a front by an operator's file, in a server, before backends.
type rig struct {
	t     testing.TB
	file  operatorconfig.File
	door  *pumicecroft.Gateway
	front *httpproxy.Front
	addr  string
}

// parse reads a file's text, less "listen".
func parse(t testing.TB, text string) operatorconfig.File {
	t.Helper()
	f, err := operatorconfig.Parse([]byte("listen = \"127.0.0.1:0\"\n" + text))
	if err != nil {
		t.Fatal(err)
	}
	return f
}

// start serves by a file's text.
func start(t testing.TB, text string) *rig {
	t.Helper()
	return startDialing(t, text, nil)
}

// startDialing is start with a way to open connections to backends.
func startDialing(t testing.TB, text string, dial func(context.Context, string, string) (net.Conn, error), options ...pumicecroft.Option) *rig {
	t.Helper()
	r := &rig{t: t, file: parse(t, text)}
	for _, s := range r.file.Web.Services {
		c, err := httpproxyconfig.Service(s, os.ReadFile, slog.Default())
		if err != nil {
			t.Fatal(err)
		}
		c.Dial = dial
		options = append(options, httpproxy.WithService(c))
	}
	var err error
	if r.door, err = pumicecroft.New(r.file.Door, options...); err != nil {
		t.Fatal(err)
	}
	r.door.Update(r.file.Backends)
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		defer cancel()
		if err := r.door.Close(ctx); err != nil {
			t.Error(err)
		}
	})
	c := r.file.Web.Front
	c.Rules = r.rules(r.file)
	if r.front, err = httpproxy.New(r.door, c); err != nil {
		t.Fatal(err)
	}
	r.addr = serve(t, r.front, nil)
	return r
}

func (r *rig) rules(f operatorconfig.File) httpproxy.Rules {
	r.t.Helper()
	rules, err := httpproxyconfig.Rules(&f, os.ReadFile)
	if err != nil {
		r.t.Fatal(err)
	}
	return rules
}

// serve serves a handler on a port of the system's.
func serve(t testing.TB, h http.Handler, config *tls.Config) string {
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

// raw sends bytes and gives all that comes back until the connection ends or nothing comes for a while.
func raw(t testing.TB, addr, text string, patience time.Duration) string {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	go io.WriteString(c, text)
	c.SetReadDeadline(time.Now().Add(patience))
	b, _ := io.ReadAll(c)
	return string(b)
}

func service(name string, addrs ...string) string {
	quoted := make([]string, len(addrs))
	for i, a := range addrs {
		quoted[i] = fmt.Sprintf("%q", a)
	}
	return fmt.Sprintf("[[service]]\nname = %q\nbackends = [%s]\n", name, strings.Join(quoted, ", "))
}
