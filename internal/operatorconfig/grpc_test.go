package operatorconfig

import (
	"strings"
	"testing"
	"time"

	"pumicecroft/grpcproxy"
)

const validGRPCFile = validFile + `
[grpc]
listen = "127.0.0.1:8090"
customer = "x-tenant"
customer_text = true
terms = ""
read_timeout = "300ms"

[[grpc.method]]
name = "/shop.Desk/Pay"
class = "pay"

[[grpc.method]]
name = "/shop.List/*"
class = "look"
streaming = true
`

func TestGRPC(t *testing.T) {
	f, err := Parse([]byte(strings.Replace(validGRPCFile, "cell = 3", "cell = 3\nprotocol = \"grpc\"", 1)))
	if err != nil {
		t.Fatal(err)
	}
	c := f.GRPC.Proxy
	if f.GRPC.Listen != "127.0.0.1:8090" || c.Names != (grpcproxy.MetadataNames{Customer: "x-tenant", Plan: "x-tier",
		ID: "request-id", IdempotencyKey: "idempotency-key"}) ||
		!c.CustomerText || c.Strict || c.ReadTimeout != 300*time.Millisecond || c.MaxMessageBytes != 4<<20 ||
		c.MaxStreamsPerConn != 1000 {
		t.Errorf("[grpc]: got %+v, want the values of validGRPCFile and the defaults", f.GRPC)
	}
	if len(c.Methods) != 2 || c.Methods["/shop.List/*"] != (grpcproxy.Method{Class: "look", Streaming: true}) {
		t.Errorf("methods: got %+v, want 2 and /shop.List/* streaming in class look", c.Methods)
	}
	if f.Backends.Nodes[0].Protocol != "grpc" || f.Gateway.Protocol != "http" ||
		f.GRPC.Backends.ConnectTimeout != f.Gateway.ConnectTimeout {
		t.Errorf("got nodes %+v and gateway %+v, want a node with grpc, a gateway with http and equal connect timeouts",
			f.Backends.Nodes, f.Gateway)
	}
	if f, err = Parse([]byte(validFile)); err != nil || f.GRPC != nil {
		t.Errorf("without [grpc]: got %+v and error %v, want neither", f.GRPC, err)
	}
}

func TestInvalidGRPC(t *testing.T) {
	for name, c := range map[string]struct{ old, new, want string }{
		"no listen": {`listen = "127.0.0.1:8090"`, "", "line 30: grpc.listen: it is missing"},
		"a name reserved by gRPC": {`"x-tenant"`, `"grpc-timeout"`,
			`line 32: grpc.customer: invalid metadata name "grpc-timeout"`},
		"a binary name": {`"x-tenant"`, `"x-tenant-bin"`,
			`line 32: grpc.customer: invalid metadata name "x-tenant-bin"`},
		"upper case":  {`"x-tenant"`, `"X-Tenant"`, `line 32: grpc.customer: invalid metadata name "X-Tenant"`},
		"no customer": {`"x-tenant"`, `""`, "line 32: grpc.customer: it is empty"},
		"a name twice": {`"x-tenant"`, `"x-tier"`,
			`line 30: grpc.plan: "x-tier" is already the name of other metadata`},
		"no method": {"[[grpc.method]]", "[[grpc.methode]]", "line 30: grpc.methode: no such key; there are "},
		"not a method": {`"/shop.Desk/Pay"`, `"shop.Desk.Pay"`,
			`line 38: grpc.method[0].name: "shop.Desk.Pay" is not of the form /package.Service/Method`},
		"wildcard in a name": {`"/shop.List/*"`, `"/shop.List/Get*"`,
			`line 42: grpc.method[1].name: "/shop.List/Get*" is not of the form /package.Service/Method`},
		"a method twice": {`"/shop.List/*"`, `"/shop.Desk/Pay"`,
			`line 42: grpc.method[1].name: "/shop.Desk/Pay" is used more than once`},
		"unknown class": {`class = "pay"`, `class = "buy"`,
			`line 39: grpc.method[0].class: there is no class "buy"`},
		"unknown protocol": {"cell = 3", "cell = 3\nprotocol = \"http2\"",
			`line 29: backend[0].protocol: "http2" is none of`},
	} {
		_, err := Parse([]byte(strings.Replace(validGRPCFile, c.old, c.new, 1)))
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: got error %v, want it to contain %q", name, err, c.want)
		}
	}
}
