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

// deployFile holds the commands that the platform reads from deploy/balancer.toml.
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

// The platform's bench controls the sockets, clocks and waits of a gateway through a library that it
// preloads into the process, which has no effect on a statically linked program. So the deployed build
// command must link both programs to the C library.
func TestDeployBuildLinksCLibrary(t *testing.T) {
	deploy := readDeployFile(t)
	// SIGHUP would kill a process that has not installed its handler yet. Until then it must be ignored,
	// which loses no reload, as the process has not read its file yet either.
	if deploy.Run != "trap '' HUP; exec bin/pumicecroft" || deploy.Sim != "exec bin/adapter" {
		t.Errorf("run = %q, sim = %q; want each to replace the shell by one process", deploy.Run, deploy.Sim)
	}
	if !strings.Contains(deploy.Build, "-o bin/ ./cmd/...") {
		t.Fatalf("build = %q, want it to write all programs of cmd to bin", deploy.Build)
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
	checkStaticProgramIsReported(t, dir)
}

// checkStartsAsOrdinaryUser starts a program as a user who can write only to $TMPDIR. The program must
// fail with an output that contains want, or succeed if want is empty.
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
		t.Errorf("%s as an ordinary user: error %v, want output with %q (if empty: no error); output:\n%s",
			name, err, want, out)
	}
}

// checkStaticProgramIsReported checks that linkProblem reports a statically linked program.
func checkStaticProgramIsReported(t *testing.T, dir string) {
	t.Helper()
	static := filepath.Join(dir, "static")
	cmd := exec.Command("go", "build", "-o", static, "./cmd/adapter")
	cmd.Env = append(os.Environ(), "CGO_ENABLED=0")
	if out, err := cmd.CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	if linkProblem(static) == "" {
		t.Error("linkProblem of a statically linked program = \"\", want a problem")
	}
}

// linkProblem returns why the dynamic loader would not load the C library into a program, or "" if it
// would.
func linkProblem(path string) string {
	f, err := elf.Open(path)
	if err != nil {
		return err.Error()
	}
	defer f.Close() //nolint:errcheck // it was only read
	if !slices.ContainsFunc(f.Progs, func(p *elf.Prog) bool { return p.Type == elf.PT_INTERP }) {
		return "has no program interpreter"
	}
	libs, err := f.ImportedLibraries()
	if err != nil || !slices.ContainsFunc(libs, func(l string) bool { return strings.HasPrefix(l, "libc.so") }) {
		return "is linked to [" + strings.Join(libs, ", ") + "], not to the C library"
	}
	return ""
}
