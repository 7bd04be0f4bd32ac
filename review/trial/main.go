// Command trial holds the stand-ins and the checks of the cases review/6 to review/10. Each case is a
// sub-command that starts the gateway with the commands of the deploy file and the stand-ins as further
// processes of this program.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// longestCase ends a case that takes longer: run.sh may take 120 s.
const longestCase = 110 * time.Second

// cases maps the names of the cases to what they do. With trouble false the disruption is left out.
var cases = map[string]func(t *trial, trouble bool) error{
	"frozen-service": frozenService,
	"moved-host":     movedHost,
	"late-key":       lateKey,
	"second-answer":  secondAnswer,
	"leavers":        leavers,
	"crowd":          crowd,
	"refused-key":    refusedKey,
}

// standIns maps the names of the stand-ins to what they do. Each runs in a process of its own until it is
// killed.
var standIns = map[string]func(args []string) error{
	"h2server":   h2Server,
	"grpcserver": grpcServer,
}

// errBroken is wrapped by a case's error if the rule was broken.
var errBroken = errors.New("the rule was broken")

func broken(format string, args ...any) error {
	return fmt.Errorf("%w: %s", errBroken, fmt.Sprintf(format, args...))
}

func main() {
	flag.Parse()
	name := flag.Arg(0)
	if standIn := standIns[name]; standIn != nil {
		if err := standIn(flag.Args()[1:]); err != nil {
			fmt.Fprintln(os.Stderr, name+":", err)
			os.Exit(1)
		}
		return
	}
	run := cases[name]
	if run == nil || flag.NArg() != 2 {
		fmt.Fprintln(os.Stderr, "usage: trial CASE RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(runCase(name, flag.Arg(1), run))
}

// runCase runs one case and returns its exit code. All processes have ended when it returns.
func runCase(name, record string, run func(*trial, bool) error) int {
	trouble := os.Getenv("TROUBLE") != "0"
	t, err := newTrial(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer t.close()
	t.note("case %s, trouble %v", name, trouble)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	done := make(chan error, 1)
	go func() { done <- run(t, trouble) }()
	select {
	case err = <-done:
	case <-signals:
		err = errors.New("ended by a signal")
	case <-time.After(longestCase):
		err = errors.New("the case did not end in time")
	}
	code := exitHeld
	switch {
	case errors.Is(err, errBroken):
		code = exitBroken
	case err != nil:
		code = exitNotRun
	}
	verdict := [...]string{"held", "broken", "not run"}[code]
	t.note("verdict: %s: %v", verdict, err)
	fmt.Printf("%s: %s: %v\n", name, verdict, err)
	return code
}
