package operatorconfig

import (
	"strings"
	"testing"

	"pumicecroft/decision"

	"github.com/cockroachdb/datadriven"
)

// Files of ordinary HTTP give their classes, routes and identities, or each problem with line and
// key. Line 1 of the file is "listen".
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
			to := r.Target
			b.WriteString("route " + r.Name + " " + r.Host + r.Path + " -> " +
				strings.Join([]string{to.Service, to.Class.Idempotent, to.Class.IdempotentByKey,
					to.Class.NonIdempotent}, "|"))
			if to.Idempotency != nil && *to.Idempotency == decision.Idempotent {
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
