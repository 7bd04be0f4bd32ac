// Package conformance has the five rules as one suite, which runs unchanged against whatever gateway
// it is given: the daemon as a process, the library's handler, the middlewares. A gateway is started
// for each case from the platform's configuration, is sent requests, and is judged by the responses
// and by what reached the fake backends.
//
// Every case checks the rules by itself. Cases whose course does not depend on timing also add lines
// to a Transcript, which must be the same for every gateway.
//
// The files: testcase.go is the deployment of a case; outcomes.go, backends.go, quota.go and
// clients.go have the cases.
package conformance

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

// Gateway is a gateway that serves.
type Gateway interface {
	// Addr returns the address for clients.
	Addr() string
	// Stop shuts the gateway down as a planned restart does. It returns when all accepted requests
	// have their response.
	Stop() error
}

// Starter starts gateways of one kind.
type Starter struct {
	// Start starts a gateway by the text of a platform's configuration. It serves when Start returns,
	// and is stopped at the end of the test unless it was before.
	Start func(t testing.TB, config string) Gateway
	// GRPC says that clients and backends speak gRPC. The cases are the same.
	GRPC bool
	// PassesBackendErrors says that a backend's own error is forwarded, and that malformed requests have
	// statuses of the gateway's own.
	PassesBackendErrors bool
	// IdempotencyKeys says that the gateway recognises idempotency keys. The cases are the same, except
	// for IDs that are repeated.
	IdempotencyKeys bool
}

// Transcript holds the lines that cases have added, by case. It is safe for concurrent use.
type Transcript struct {
	mu    sync.Mutex
	lines map[string][]string
}

func (tr *Transcript) add(name, format string, args ...any) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if tr.lines == nil {
		tr.lines = map[string][]string{}
	}
	tr.lines[name] = append(tr.lines[name], fmt.Sprintf(format, args...))
}

// String returns the transcript, sorted by case.
func (tr *Transcript) String() string {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	var b strings.Builder
	for _, name := range slices.Sorted(maps.Keys(tr.lines)) {
		fmt.Fprintf(&b, "%s\n  %s\n", name, strings.Join(tr.lines[name], "\n  "))
	}
	return b.String()
}

// waitLimit limits the wait for something that must happen.
const waitLimit = 20 * time.Second

// schedulingSlack is how much later than its deadline a response may be seen, on a busy machine. The
// platform counts a later one as lost.
const schedulingSlack = 500 * time.Millisecond

// Timeouts of clients: clientTimeout is ample on a busy machine, shortTimeout is for requests that
// wait for its end.
const (
	clientTimeout = 15 * time.Second
	shortTimeout  = 1200 * time.Millisecond
)

// Run runs all cases and returns the transcript when all have ended.
func Run(t *testing.T, starter Starter) *Transcript {
	tr := &Transcript{}
	t.Run("cases", func(t *testing.T) {
		for name, run := range map[string]func(*testing.T, Starter, *Transcript){
			"one final answer, single effects": testOutcomes,
			"drains are honoured":              testDrains,
			"a cold backend is spared":         testColdBackend,
			"quota and advice":                 testQuota,
			"the ceiling holds over two doors": testHardLimit,
			"a quota over two doors":           testSharedQuota,
			"a client that leaves":             testClientDisconnect,
			"the end loses nothing":            testShutdown,
			"what cannot be read":              testMalformedRequests,
			"bodies pass unchanged":            testBodies,
			"ids that come again":              testReplays,
			"no backend at all":                testNoBackend,
			"many at once":                     testManyRequests,
		} {
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				run(t, starter, tr)
			})
		}
	})
	return tr
}
