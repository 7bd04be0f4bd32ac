package demo

import (
	"bytes"
	"regexp"
	"strings"
	"testing"
	"time"
)

// The demo is the program's main job on loopback: nothing may be lost or doubled while backends drain, die and
// start, and it says so in its last line.
func TestDemo(t *testing.T) {
	var out bytes.Buffer
	counts, err := Run(t.Context(), Options{Duration: 4 * time.Second, Addr: "127.0.0.1:0", Out: &out, Seed: 7})
	if err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	if !counts.OK() || counts.Served == 0 || counts.Rejected == 0 || counts.WithRetryAfter != counts.Rejected {
		t.Errorf("%+v\n%s", counts, out.String())
	}
	lastLine := regexp.MustCompile(`^served=\d+ refused=\d+ failed=\d+ lost=0 duplicates=0$`)
	if last := lines[len(lines)-1]; !lastLine.MatchString(last) {
		t.Errorf("the last line is %q", last)
	}
	for _, what := range []string{"node-0 drains", "node-1 dies", "node-6 starts cold",
		"sent to the drained backend after its grace: 0; cold backends that fell: 0;", "p50=", "p99="} {
		if !strings.Contains(out.String(), what) {
			t.Errorf("no word of %q in\n%s", what, out.String())
		}
	}
	if counts := (Counts{Sent: 1, Duplicates: 1}); counts.OK() || (Counts{Sent: 1, Lost: 1}).OK() || (Counts{}).OK() {
		t.Error("what was lost or duplicated counts as good")
	}
}
