package operatorconfig

import (
	"strings"
	"testing"

	"pumicecroft/decision"

	"github.com/cockroachdb/datadriven"
)

// Parse returns the classes, plans, nodes, routes and identities of a file with services, or each problem
// with its line and key. Line 1 of the file is "listen".
func TestHTTP(t *testing.T) {
	datadriven.RunTest(t, "testdata/web", func(_ *testing.T, d *datadriven.TestData) string {
		f, err := Parse([]byte("listen = \"127.0.0.1:0\"\n" + d.Input))
		if err != nil {
			return err.Error() + "\n"
		}
		var b strings.Builder
		for _, c := range f.Gateway.Settings.Classes {
			b.WriteString("class " + c.Name + " " + []string{"safe", "keyed", "unsafe"}[c.Idempotency] + " " +
				c.Deadline.String() + "\n")
		}
		for _, p := range f.Gateway.Settings.Plans {
			b.WriteString("plan " + p.Name + "\n")
		}
		for _, n := range f.Backends.Nodes {
			b.WriteString("node " + n.Name + " " + n.Addr + " " + n.Protocol + "\n")
		}
		for _, r := range f.HTTP.Routes {
			target := r.Target
			b.WriteString("route " + r.Name + " " + r.Host + r.Path + " -> " +
				strings.Join([]string{target.Service, target.Class.Idempotent, target.Class.IdempotentByKey,
					target.Class.NonIdempotent}, "|"))
			if target.Idempotency != nil && *target.Idempotency == decision.Idempotent {
				b.WriteString(" safe")
			}
			b.WriteString("\n")
		}
		for _, id := range f.HTTP.Identities {
			b.WriteString("identity " + id.Kind + " " + id.Plan + "\n")
		}
		return b.String()
	})
}
