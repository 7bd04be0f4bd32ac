package pumicecroft

import (
	"os"
	"strings"
	"testing"
)

// Programs in the page for embedders are those in examples, which are compiled with everything else.
// A copy that is edited alone would stop compiling without notice.
func TestLibraryPageHoldsExamples(t *testing.T) {
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
			t.Errorf("docs/operate/library.md does not hold examples/%s/main.go as it is", name)
		}
	}
}
