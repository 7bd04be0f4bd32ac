package pumicecroft

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// purePackages do no I/O, read no clock, take no lock and start no goroutine, so that the same code
// runs on real sockets, under a virtual clock and in the platform's simulator.
var purePackages = []string{
	"decision", "idempotency", "identity", "internal/backoff", "internal/blockingquery",
	"internal/connpool", "internal/consulcatalog", "internal/emulator", "internal/endpointindex",
	"internal/eventqueue", "internal/grpcproto", "internal/http1proxy", "internal/journal",
	"internal/lifecycle", "internal/loadreport", "internal/paired", "internal/platformhttp",
	"internal/pollbackoff", "internal/requestmeta", "internal/reservemodel", "internal/sim",
	"internal/simdisk", "internal/timerwheel", "membership", "quota", "recovery", "routes",
}

var impureImports = []string{"net", "os", "sync", "log", "syscall", "context", "io", "runtime", "testing", "unsafe"}

// pureTimeIdentifiers lists the identifiers of package time that do not read a clock.
var pureTimeIdentifiers = []string{
	"Duration", "Time", "Nanosecond", "Microsecond", "Millisecond", "Second", "Minute", "Hour", "Unix",
	"UnixMilli", "Month", "Weekday", "UTC", "Date", "ParseDuration", "Parse", "RFC3339", "RFC3339Nano",
}

// pureRandIdentifiers lists the identifiers of package rand that do not use the global generator, which is seeded
// randomly.
var pureRandIdentifiers = []string{"New", "NewPCG", "Rand", "Source", "PCG", "NewZipf", "Zipf"}

// pureIdentifiers lists, for packages that also do I/O, the identifiers that pure packages may use: those that only
// work on the values that they are given.
var pureIdentifiers = map[string][]string{
	"net/http": {
		"Request", "Response", "ReadResponse", "ReadRequest", "NoBody", "MethodGet", "MethodPost", "StatusSwitchingProtocols",
	},
	"net/url":       {"PathUnescape"},
	"net/textproto": {"CanonicalMIMEHeaderKey"},
	"net/netip":     {"ParseAddr"},
	"io":            {"EOF", "ErrUnexpectedEOF", "ReadFull", "ReadAll", "LimitReader"},
}

// findImpurities returns the violations of purity in a file, each with its position.
func findImpurities(name string, src any) ([]string, error) {
	fset := token.NewFileSet()
	file, err := parser.ParseFile(fset, name, src, 0)
	if err != nil {
		return nil, err
	}
	var found []string
	report := func(pos token.Pos, violation string) {
		found = append(found, fset.Position(pos).String()+": "+violation)
	}
	for _, im := range file.Imports {
		path, _ := strconv.Unquote(im.Path.Value)
		first, _, _ := strings.Cut(path, "/")
		if slices.Contains(impureImports, first) && pureIdentifiers[path] == nil || path == "math/rand" || im.Name != nil {
			report(im.Pos(), "imports "+path)
		}
		if rest, ok := strings.CutPrefix(path, "pumicecroft"); ok &&
			(rest == "" || !slices.Contains(purePackages, strings.TrimPrefix(rest, "/"))) {
			report(im.Pos(), "imports "+path+", which is not pure")
		}
	}
	ast.Inspect(file, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.GoStmt:
			report(n.Pos(), "starts a goroutine")
		case *ast.ChanType, *ast.SelectStmt:
			report(n.Pos(), "uses channels")
		case *ast.SelectorExpr:
			pkg, ok := n.X.(*ast.Ident)
			if ok && pkg.Obj == nil && (pkg.Name == "time" && !slices.Contains(pureTimeIdentifiers, n.Sel.Name) ||
				pkg.Name == "rand" && !slices.Contains(pureRandIdentifiers, n.Sel.Name) ||
				pkg.Name == "io" && !slices.Contains(pureIdentifiers["io"], n.Sel.Name) ||
				pkg.Name == "http" && !slices.Contains(pureIdentifiers["net/http"], n.Sel.Name)) {
				report(n.Pos(), "uses "+pkg.Name+"."+n.Sel.Name)
			}
		}
		return true
	})
	return found, nil
}

func TestPurePackages(t *testing.T) {
	for _, dir := range purePackages {
		files, err := filepath.Glob(filepath.Join(dir, "*.go"))
		if err != nil || len(files) == 0 {
			t.Fatalf("%s: Go files = %v, error %v; want at least one file", dir, files, err)
		}
		for _, name := range files {
			if strings.HasSuffix(name, "_test.go") {
				continue
			}
			text, err := os.ReadFile(name)
			if err != nil {
				t.Fatal(err)
			}
			found, err := findImpurities(name, text)
			if err != nil {
				t.Fatal(err)
			}
			for _, f := range found {
				t.Error(f)
			}
		}
	}
}

// TestPurePackages would also pass if findImpurities never found anything. It must report each of these sources.
func TestFindImpurities(t *testing.T) {
	for name, src := range map[string]string{
		"net":        `import "net"`,
		"client":     `import "net/http"; var c = http.DefaultClient`,
		"pipe":       `import "io"; var f = io.Pipe`,
		"renamed io": `import x "io"`,
		"lock":       `import "sync"`,
		"executor":   `import "pumicecroft/internal/executor"`,
		"root":       `import "pumicecroft"`,
		"clock":      `import "time"; func f() time.Time { return time.Now() }`,
		"timer":      `import "time"; var f = time.AfterFunc`,
		"random":     `import "math/rand/v2"; var x = rand.IntN(3)`,
		"renamed":    `import x "time"`,
		"goroutine":  `func f() { go f() }`,
		"channel":    `var c chan int`,
	} {
		if found, err := findImpurities(name, "package p; "+src); err != nil || len(found) == 0 {
			t.Errorf("%s: findImpurities = %v, error %v; want at least one and no error", name, found, err)
		}
	}
	if found, err := findImpurities("good", `package p; import ("time"; "math/rand/v2"; "pumicecroft/decision")
		var r = rand.New(rand.NewPCG(1, 2)); var d time.Duration; var x decision.Request`); err != nil || len(found) > 0 {
		t.Errorf("pure source: findImpurities = %v, error %v; want none", found, err)
	}
}
