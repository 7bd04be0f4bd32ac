package pumicecroft

import (
	"os"
	"strings"
	"testing"
)

// The programs in the library page must equal those in examples, which are compiled with everything else.
// Otherwise a program in the page could stop compiling without anyone noticing.
func TestLibraryPageContainsExamples(t *testing.T) {
	page, err := os.ReadFile("docs/operate/library.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"nethttp", "chi", "gin", "grpc"} {
		program, err := os.ReadFile("examples/" + name + "/main.go")
		if err != nil {
			t.Fatal(err)
		}
		if !strings.Contains(string(page), "```go\n"+string(program)+"```\n") {
			t.Errorf("docs/operate/library.md does not contain an exact copy of examples/%s/main.go", name)
		}
	}
}
