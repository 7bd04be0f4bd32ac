package pumicecroft

import (
	"debug/elf"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"

	"github.com/pelletier/go-toml/v2"
)

// The platform's bench leads a door's sockets, clocks and waits through a library that it loads into the process, so both
// programs are bound to the C library, by the very line that builds them.
func TestTheDeployBuildIsBoundToTheCLibrary(t *testing.T) {
	text, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	var deploy struct{ Build, Run, Sim string }
	if err := toml.Unmarshal(text, &deploy); err != nil {
		t.Fatal(err)
	}
	// SIGHUP ends a process that has not yet said that it wants it: until then it is to be passed over, as the file has not been read either
	if deploy.Run != "trap '' HUP; exec bin/pumicecroft" || deploy.Sim != "exec bin/adapter" {
		t.Errorf("run %q and sim %q are not one process each", deploy.Run, deploy.Sim)
	}
	if !strings.Contains(deploy.Build, "-o bin/ ./cmd/...") {
		t.Fatalf("build %q leaves no programs in bin", deploy.Build)
	}
	dir := t.TempDir()
	build := strings.ReplaceAll(strings.ReplaceAll(deploy.Build, "-o bin/", "-o "+dir+"/"), "mkdir -p bin", ":")
	if out, err := exec.Command("sh", "-c", build).CombinedOutput(); err != nil {
		t.Fatalf("%s: %v\n%s", build, err, out)
	}
	for _, name := range []string{"pumicecroft", "adapter"} {
		if why := unbound(filepath.Join(dir, name)); why != "" {
			t.Errorf("%s %s", name, why)
		}
	}
	// both start as an ordinary user, in a folder that is not theirs to write to, with nothing but $TMPDIR
	for name, want := range map[string]string{"pumicecroft": "NODE_CONFIG names no file", "adapter": ""} {
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
		if _, exited := err.(*exec.ExitError); !strings.Contains(string(out), want) || exited != (want != "") {
			t.Errorf("%s by an ordinary user: %v\n%s", name, err, out)
		}
	}
	// one that Go links by itself is told apart
	static := filepath.Join(dir, "static")
	cmd := exec.Command("go", "build", "-o", static, "./cmd/adapter")
	cmd.Env = append(os.Environ(), "CGO_ENABLED=0")
	if out, err := cmd.CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	if unbound(static) == "" {
		t.Error("a static program passes for one bound to the C library")
	}
}

// unbound tells what keeps the dynamic loader from a program, or nothing.
func unbound(path string) string {
	f, err := elf.Open(path)
	if err != nil {
		return err.Error()
	}
	defer f.Close()
	if !slices.ContainsFunc(f.Progs, func(p *elf.Prog) bool { return p.Type == elf.PT_INTERP }) {
		return "names no interpreter"
	}
	libs, err := f.ImportedLibraries()
	if err != nil || !slices.ContainsFunc(libs, func(l string) bool { return strings.HasPrefix(l, "libc.so") }) {
		return "needs " + strings.Join(libs, ", ") + ", not the C library"
	}
	return ""
}
