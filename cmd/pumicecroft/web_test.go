package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"pumicecroft/internal/fakes"
	"pumicecroft/internal/testcerts"
)

const minimalServiceFile = `listen = "127.0.0.1:0"
members = "127.0.0.1:0"

[[service]]
name = "shop"
backends = [%q]

[[plan]]
name = "everyone"
rate = 100000
burst = 100000
`

// A daemon with a minimal file connects curl and a Node client with a Node server.
func TestCurlAndNodeThroughDaemon(t *testing.T) {
	node, err := exec.LookPath("node")
	if err != nil {
		t.Skip("node is not installed")
	}
	curl, err := exec.LookPath("curl")
	if err != nil {
		t.Skip("curl is not installed")
	}
	server := exec.Command(node, "-e", `
const s = require('http').createServer((q, r) => {
  const parts = []
  q.on('data', d => parts.push(d)); q.on('end', () => {
    if (q.url.startsWith('/chunks')) { r.setHeader('Trailer', 'X-End'); r.write('one '); setTimeout(() => { r.write('two'); r.addTrailers({'X-End': 'yes'}); r.end() }, 20); return }
    if (q.url.startsWith('/hints')) { r.writeEarlyHints({link: '</a.css>; rel=preload'}) }
    r.statusCode = q.url.startsWith('/none') ? 204 : 201
    r.setHeader('X-Saw', q.method + ' ' + q.url + ' ' + (q.headers['x-a'] || ''))
    r.end(q.url.startsWith('/none') ? '' : Buffer.concat(parts))
  })
})
s.listen(0, '127.0.0.1', () => console.log(s.address().port))`)
	out, err := server.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := server.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { server.Process.Kill(); _ = server.Wait() })
	var port int
	if _, err := fmt.Fscan(out, &port); err != nil {
		t.Fatal(err)
	}
	_, addr, _ := startDaemon(t, writeFile(t, fmt.Sprintf(minimalServiceFile, fmt.Sprintf("127.0.0.1:%d", port))))
	runProgram := func(name string, args ...string) string {
		var b bytes.Buffer
		c := exec.CommandContext(t.Context(), name, args...)
		c.Stdout, c.Stderr = &b, &b
		if err := c.Run(); err != nil {
			t.Errorf("%s: %v\n%s", args, err, b.String())
		}
		return b.String()
	}
	base := "http://" + addr
	large := filepath.Join(t.TempDir(), "large")
	if err := os.WriteFile(large, bytes.Repeat([]byte("0123456789abcdef"), 50_000), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		args []string
		want []string
	}{
		{[]string{"-si", "-H", "X-A: b", base + "/items/7%2F8?q=2"},
			[]string{"HTTP/1.1 201 ", "X-Saw: GET /items/7%2F8?q=2 b"}},
		{[]string{"-sI", base + "/x"}, []string{"HTTP/1.1 201 ", "X-Saw: HEAD /x"}},
		{[]string{"-si", "-X", "DELETE", base + "/none"}, []string{"HTTP/1.1 204 "}},
		{[]string{"-si", "-d", "a=1", base + "/x"}, []string{"201 ", "a=1"}},
		{[]string{"-si", "-H", "Expect: 100-continue", "-T", large, base + "/x"},
			[]string{"HTTP/1.1 100 ", "201 ", "89abcdef"}},
		{[]string{"-si", "-H", "Transfer-Encoding: chunked", "-d", "a=1", base + "/x"}, []string{"201 ", "a=1"}},
		{[]string{"-si", "--raw", base + "/chunks"}, []string{"chunked", "one ", "two", "X-End: yes"}},
		{[]string{"-si", base + "/hints"}, []string{"HTTP/1.1 103 ", "201 "}},
		{[]string{"-si", "--http2-prior-knowledge", base + "/x"}, []string{"HTTP/2 201"}},
	} {
		got := runProgram(curl, c.args...)
		for _, want := range c.want {
			if !strings.Contains(strings.ToLower(got), strings.ToLower(want)) {
				t.Errorf("curl %s: got\n%.600s\nwant it to contain %q", c.args, got, want)
			}
		}
	}
	got := runProgram(node, "-e", `
const http = require('http'), agent = new http.Agent({keepAlive: true})
let left = 50
function next() {
  if (left-- === 0) { console.log('all'); process.exit(0) }
  const q = http.request({host: '127.0.0.1', port: `+addr[strings.LastIndexByte(addr, ':')+1:]+`, path: '/p' + left, method: left % 2 ? 'PUT' : 'GET', agent}, r => {
    let b = ''; r.on('data', d => b += d); r.on('end', () => { if (r.statusCode !== 201 || b !== (left % 2 ? 'body' : '')) { console.log(r.statusCode, b); process.exit(1) } next() })
  })
  if (left % 2) q.write('body')
  q.end()
}
next()`)
	if !strings.Contains(got, "all") {
		t.Errorf("the Node client printed %q, want \"all\" after its 50 requests", got)
	}
}

// SIGHUP applies the routes of the changed file, unless the file is invalid. Open requests keep the routes
// with which they arrived.
func TestSIGHUPReloadsRoutes(t *testing.T) {
	arrived, release := make(chan bool, 1), make(chan bool)
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/held" {
			arrived <- true
			<-release
		}
		io.WriteString(w, "ok")
	}))
	defer backend.Close()
	text := fmt.Sprintf(minimalServiceFile, strings.TrimPrefix(backend.URL, "http://"))
	path := writeFile(t, text)
	cmd, addr, _ := startDaemon(t, path)
	status := func(path string) int {
		res, err := http.Get("http://" + addr + path)
		if err != nil {
			t.Error(err)
			return 0
		}
		defer res.Body.Close()
		io.Copy(io.Discard, res.Body)
		return res.StatusCode
	}
	held := make(chan int)
	go func() { held <- status("/held") }()
	<-arrived
	reloadUntil := func(routes string, want int) {
		t.Helper()
		if err := os.WriteFile(path, []byte(text+routes), 0o600); err != nil {
			t.Fatal(err)
		}
		cmd.Process.Signal(syscall.SIGHUP)
		for end := time.Now().Add(20 * time.Second); status("/") != want; time.Sleep(5 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("got no status %d within 20 s of SIGHUP", want)
			}
		}
	}
	reloadUntil("[[route]]\nrefuse = 403\n", 403)
	if err := os.WriteFile(path, []byte(text+"[[route]]\nservice = \"none\"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd.Process.Signal(syscall.SIGHUP)
	reloadUntil("[[route]]\nrefuse = 410\n", 410) // the invalid file changed nothing and didn't end the daemon
	release <- true
	if got := <-held; got != 200 {
		t.Errorf("the request that was open during the reloads got %d, want 200", got)
	}
}

// The check command reads the files that an operator's file names, and reports each problem with the
// line and key that name the file.
func TestCheckReadsFiles(t *testing.T) {
	ca := testcerts.New(t)
	dir := t.TempDir()
	cert, key := ca.Issue(nil, "shop.example", "unused.example")
	_, otherKey := ca.Issue(nil, "else.example")
	pathOf := testcerts.WriteFiles(t, dir,
		map[string][]byte{"c": cert, "k": key, "other": otherKey, "keys": []byte("zz\n")})
	base := fmt.Sprintf(minimalServiceFile,
		"127.0.0.1:9") + "[[route]]\nhost = \"shop.example\"\n[[route]]\nhost = \"bare.example\"\n[tls]\n"
	certificate := func(c, k string) string {
		return fmt.Sprintf("[[tls.certificate]]\ncert_file = %q\nkey_file = %q\n", pathOf(c), pathOf(k))
	}
	for name, c := range map[string]struct{ sections, want string }{
		"valid":  {certificate("c", "k"), `no certificate is for host "bare.example"`},
		"unused": {certificate("c", "k"), `a certificate is for "unused.example", which no route uses`},
		"another's key": {certificate("c", "other"),
			"line 17: tls.certificate[0].cert_file: the key is not the certificate's"},
		"no file":        {certificate("c", "none"), "line 17: tls.certificate[0].cert_file: open "},
		"no certificate": {certificate("k", "k"), "line 17: tls.certificate[0].cert_file: it can't be read"},
		"a file of keys": {certificate("c", "k") + fmt.Sprintf("[[identity]]\nkind = \"key\"\nfile = %q\n", pathOf("keys")),
			"line 20: identity[0].file: " + pathOf("keys") + ": line 1: "},
		"no section of certificates": {"", "line 16: tls.certificate: at least one [[tls.certificate]] with"},
	} {
		var out bytes.Buffer
		err := run(t.Context(), []string{"check", writeFile(t, base+c.sections)}, &out)
		if got := out.String() + fmt.Sprint(err); !strings.Contains(got, c.want) {
			t.Errorf("%s: got output and error %s, want them to contain %q", name, got, c.want)
		}
	}
}

// The routes command prints how a request would be handled.
func TestRoutesCommand(t *testing.T) {
	path := writeFile(t, fmt.Sprintf(minimalServiceFile, "127.0.0.1:9")+`[http]
trusted = ["10.0.0.0/8"]
[[identity]]
kind = "header"
customer = "X-Customer"
plan = "everyone"
[[route]]
name = "items"
path = "/items/{id}"
methods = ["GET", "POST"]
units = 3
timeout = "2s"
`)
	for _, c := range []struct{ args, want string }{
		{"GET|/items/a%2Fb|-H|X-Customer: c|--from|10.1.1.1",
			"route     items (line 18)\n          id = \"a/b\"\nwho       c, by header 0, plan everyone\nservice   shop\nclass     shop: safe to repeat\ndeadline  2s\nunits     3\n"},
		{"POST|http://x/items/7|-H|X-Customer: c|--from|10.1.1.1",
			"class     shop (once): never repeated once it may have run"},
		{"GET|/items/7|-H|X-Customer: c", "refused   401: Nothing says who asks"},
		{"PUT|/items/7", "refused   405: no route takes this method, but GET, POST"},
		{"GET|/else", "refused   404: No route takes such a request"},
		{"GET|/items/..", "refused   400: "},
	} {
		var out bytes.Buffer
		if err := run(t.Context(), append([]string{"routes", path}, strings.Split(c.args, "|")...),
			&out); err != nil || !strings.Contains(out.String(), c.want) {
			t.Errorf("%s: error %v, got\n%s\nwant it to contain\n%s", c.args, err, out.String(), c.want)
		}
	}
	if err := run(t.Context(), []string{"routes", path, "GET"}, io.Discard); err == nil {
		t.Error("routes without a URL: got no error")
	}
}

// The backends of two services come from Consul. Each service gets only its own requests, and none go to
// instances whose metadata names another protocol.
func TestServicesFromConsul(t *testing.T) {
	agent, err := fakes.StartConsul(nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(agent.Close)
	for _, name := range []string{"a", "b"} {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter,
			_ *http.Request) {
			io.WriteString(w, "by "+name)
		}))
		t.Cleanup(s.Close)
		host, portText, _ := net.SplitHostPort(strings.TrimPrefix(s.URL, "http://"))
		port, _ := strconv.Atoi(portText)
		agent.Register(fakes.ConsulInstance{Node: "n", NodeAddr: host, ID: name, Service: "web-" + name, Port: port,
			Checks: []fakes.ConsulCheck{{ID: "up", Status: "passing"}}},
			fakes.ConsulInstance{Node: "n", NodeAddr: host, ID: name + "-grpc", Service: "web-" + name, Port: 1,
				Meta: map[string]string{"speaks": "grpc"}, Checks: []fakes.ConsulCheck{{ID: "up", Status: "passing"}}})
	}
	_, addr, _ := startDaemon(t, writeFile(t, fmt.Sprintf(`listen = "127.0.0.1:0"
members = "127.0.0.1:0"
[[service]]
name = "a"
[[service]]
name = "b"
[[route]]
path = "/a/{rest...}"
service = "a"
[[route]]
path = "/b/{rest...}"
service = "b"
[consul]
address = %q
[[consul.service]]
name = "web-a"
service = "a"
protocol = "speaks"
[[consul.service]]
name = "web-b"
service = "b"
protocol = "speaks"
`, agent.Addr())))
	for n := range 40 {
		name := []string{"a", "b"}[n%2]
		for end := time.Now().Add(20 * time.Second); ; time.Sleep(5 * time.Millisecond) {
			res, err := http.Get("http://" + addr + "/" + name + "/x")
			if err != nil {
				t.Fatal(err)
			}
			body, _ := io.ReadAll(res.Body)
			res.Body.Close()
			if res.StatusCode == 200 && string(body) == "by "+name {
				break
			}
			if res.StatusCode != 503 || n > 1 || time.Now().After(end) { // 503 until the gateway knows the backend
				t.Fatalf("service %s, request %d: got %d %q, want 200 %q", name, n, res.StatusCode, body, "by "+name)
			}
		}
	}
}
