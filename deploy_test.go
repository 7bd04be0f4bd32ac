package pumicecroft

import (
	"debug/elf"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"

	"github.com/pelletier/go-toml/v2"
)

// deployFile is what the platform reads of deploy/balancer.toml.
type deployFile struct{ Build, Run, Sim string }

func readDeployFile(t *testing.T) deployFile {
	t.Helper()
	text, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	var deploy deployFile
	if err := toml.Unmarshal(text, &deploy); err != nil {
		t.Fatal(err)
	}
	return deploy
}

// The platform's bench controls a gateway's sockets, clocks and waits through a library that it loads
// into the process. A statically linked program would escape it, so both programs are linked to the C
// library by the very line that builds them.
func TestDeployBuildLinksCLibrary(t *testing.T) {
	deploy := readDeployFile(t)
	// SIGHUP ends a process that has not installed its handler yet: until then it has to be ignored, as
	// the file has not been read either.
	if deploy.Run != "trap '' HUP; exec bin/pumicecroft" || deploy.Sim != "exec bin/adapter" {
		t.Errorf("run %q and sim %q are not one process each", deploy.Run, deploy.Sim)
	}
	if !strings.Contains(deploy.Build, "-o bin/ ./cmd/...") {
		t.Fatalf("build %q leaves no programs in bin", deploy.Build)
	}
	dir := t.TempDir()
	build := strings.ReplaceAll(deploy.Build, "-o bin/", "-o "+dir+"/")
	build = strings.ReplaceAll(build, "mkdir -p bin", ":")
	if out, err := exec.Command("sh", "-c", build).CombinedOutput(); err != nil {
		t.Fatalf("%s: %v\n%s", build, err, out)
	}
	for _, name := range []string{"pumicecroft", "adapter"} {
		if problem := linkProblem(filepath.Join(dir, name)); problem != "" {
			t.Errorf("%s %s", name, problem)
		}
	}
	checkStartsAsOrdinaryUser(t, dir, "pumicecroft", "NODE_CONFIG names no file")
	checkStartsAsOrdinaryUser(t, dir, "adapter", "")
	checkStaticProgramIsFound(t, dir)
}

// checkStartsAsOrdinaryUser starts a program as a user who may write nowhere but in $TMPDIR. It must
// fail with an output that holds want, or succeed if want is empty.
func checkStartsAsOrdinaryUser(t *testing.T, dir, name, want string) {
	t.Helper()
	cmd := exec.Command(filepath.Join(dir, name))
	cmd.Dir, cmd.Env = "/", []string{"TMPDIR=" + t.TempDir(), "PATH=/usr/bin:/bin"}
	if os.Getuid() == 0 {
		for _, d := range []string{filepath.Dir(dir), dir} {
			if err := os.Chmod(d, 0o755); err != nil {
				t.Fatal(err)
			}
		}
		cmd.SysProcAttr = &syscall.SysProcAttr{Credential: &syscall.Credential{Uid: 65534, Gid: 65534}}
	}
	out, err := cmd.CombinedOutput()
	var exit *exec.ExitError
	if failed := errors.As(err, &exit); !strings.Contains(string(out), want) || failed != (want != "") {
		t.Errorf("%s as an ordinary user: %v\n%s", name, err, out)
	}
}

// checkStaticProgramIsFound checks linkProblem itself: a program that Go links statically must not pass.
func checkStaticProgramIsFound(t *testing.T, dir string) {
	t.Helper()
	static := filepath.Join(dir, "static")
	cmd := exec.Command("go", "build", "-o", static, "./cmd/adapter")
	cmd.Env = append(os.Environ(), "CGO_ENABLED=0")
	if out, err := cmd.CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	if linkProblem(static) == "" {
		t.Error("a static program passes for one that is linked to the C library")
	}
}

// linkProblem returns what keeps the dynamic loader from a program, or "".
func linkProblem(path string) string {
	f, err := elf.Open(path)
	if err != nil {
		return err.Error()
	}
	defer f.Close() //nolint:errcheck // it was only read
	if !slices.ContainsFunc(f.Progs, func(p *elf.Prog) bool { return p.Type == elf.PT_INTERP }) {
		return "names no interpreter"
	}
	libs, err := f.ImportedLibraries()
	if err != nil || !slices.ContainsFunc(libs, func(l string) bool { return strings.HasPrefix(l, "libc.so") }) {
		return "needs " + strings.Join(libs, ", ") + ", not the C library"
	}
	return ""
}
