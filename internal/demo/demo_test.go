package demo

import (
	"bytes"
	"regexp"
	"strings"
	"testing"
	"time"
)

// The demo runs a whole deployment on loopback. No request may be lost or executed twice while backends drain, crash
// and start, and the last line of the output must say so.
func TestDemo(t *testing.T) {
	var out bytes.Buffer
	counts, err := Run(t.Context(), Options{Duration: 4 * time.Second, Addr: "127.0.0.1:0", Out: &out, Seed: 7})
	if err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	if !counts.OK() || counts.Served == 0 || counts.Rejected == 0 || counts.WithRetryAfter != counts.Rejected {
		t.Errorf("counts %+v, want OK, some served, some rejected and each of these with Retry-After; output:\n%s",
			counts, out.String())
	}
	lastLine := regexp.MustCompile(`^served=\d+ refused=\d+ failed=\d+ lost=0 duplicates=0$`)
	if last := lines[len(lines)-1]; !lastLine.MatchString(last) {
		t.Errorf("the last line is %q, want a match of %q", last, lastLine)
	}
	for _, want := range []string{"node-0 drains", "node-1 crashes", "node-6 starts cold",
		"attempts at the drained backend after its grace period: 0; overloaded cold backends: 0;", "p50=", "p99="} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("output lacks %q:\n%s", want, out.String())
		}
	}
	if counts := (Counts{Sent: 1, Duplicates: 1}); counts.OK() || (Counts{Sent: 1, Lost: 1}).OK() || (Counts{}).OK() {
		t.Error("OK() = true for lost requests, duplicates or no requests at all, want false")
	}
}
