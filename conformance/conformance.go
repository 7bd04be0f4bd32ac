// Package conformance is a test suite for the five rules that every gateway must obey. It runs
// unchanged against each kind of gateway: the daemon as a process, the library's handler, the
// middlewares. For each case it starts a gateway from the platform's configuration, sends requests,
// and checks the responses and what reached the fake backends.
//
// Every case checks the rules by itself. Cases whose results do not depend on timing also add lines
// to a Transcript, which must be the same for every gateway.
//
// testcase.go holds the deployment of a case; outcomes.go, backends.go, quota.go and clients.go hold
// the cases.
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

// Gateway is a running gateway.
type Gateway interface {
	// Addr returns the address for clients.
	Addr() string
	// Stop shuts the gateway down as a planned restart does. It returns when all accepted requests
	// have been answered.
	Stop() error
}

// Starter starts gateways of one kind.
type Starter struct {
	// Start starts a gateway from the text of a platform configuration. The gateway serves requests when
	// Start returns, and is stopped at the end of the test unless it was stopped before.
	Start func(t testing.TB, config string) Gateway
	// GRPC means that clients and backends speak gRPC. The cases are the same.
	GRPC bool
	// PassesBackendErrors means that error responses of backends are forwarded unchanged, and that the
	// statuses for malformed requests differ from the daemon's.
	PassesBackendErrors bool
	// IdempotencyKeys means that the gateway recognises idempotency keys. The cases are the same, except
	// for repeated request IDs.
	IdempotencyKeys bool
}

// Transcript holds the results that cases have recorded, by case. It is safe for concurrent use.
type Transcript struct {
	mu    sync.Mutex
	lines map[string][]string
}

func (transcript *Transcript) add(name, format string, args ...any) {
	transcript.mu.Lock()
	defer transcript.mu.Unlock()
	if transcript.lines == nil {
		transcript.lines = map[string][]string{}
	}
	transcript.lines[name] = append(transcript.lines[name], fmt.Sprintf(format, args...))
}

// String returns the transcript, sorted by case.
func (transcript *Transcript) String() string {
	transcript.mu.Lock()
	defer transcript.mu.Unlock()
	var b strings.Builder
	for _, name := range slices.Sorted(maps.Keys(transcript.lines)) {
		fmt.Fprintf(&b, "%s\n  %s\n", name, strings.Join(transcript.lines[name], "\n  "))
	}
	return b.String()
}

// waitTimeout is how long a test waits for something that must happen before it fails.
const waitTimeout = 20 * time.Second

// schedulingSlack is how long after its deadline a response may be observed on a busy machine. The
// platform counts a later one as lost.
const schedulingSlack = 500 * time.Millisecond

// Timeouts of clients: clientTimeout is long enough on a busy machine, shortTimeout is for requests
// that are expected to time out.
const (
	clientTimeout = 15 * time.Second
	shortTimeout  = 1200 * time.Millisecond
)

// Run runs all cases and returns the transcript once all have finished.
func Run(t *testing.T, starter Starter) *Transcript {
	transcript := &Transcript{}
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
				run(t, starter, transcript)
			})
		}
	})
	return transcript
}
