package drprocess

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// workDir is the path of a temporary folder with the program, the settings files and
// the output of processes. It is kept if a test fails.
var workDir string

func TestMain(m *testing.M) {
	var err error
	if workDir, err = os.MkdirTemp("", "drprocess"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	code := m.Run()
	for _, c := range clusters {
		c.stop()
	}
	if code == 0 {
		os.RemoveAll(workDir)
	} else {
		fmt.Fprintln(os.Stderr, "output of the processes is in", workDir)
	}
	os.Exit(code)
}

// buildProgram builds the program at the first call and returns its path.
var buildProgram = sync.OnceValues(func() (string, error) {
	path := filepath.Join(workDir, "dotterelridge")
	out, err := exec.Command("go", "build", "-o", path, "..").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("go build: %w: %s", err, out)
	}
	return path, nil
})

// process is a running program. done is closed when it has ended.
type process struct {
	cmd        *exec.Cmd
	outputFile string // file with standard output and error
	done       chan struct{}
}

func startProcess(t testing.TB, name string, args ...string) *process {
	t.Helper()
	path, err := buildProgram()
	if err != nil {
		t.Fatal(err)
	}
	p := &process{cmd: exec.Command(path, args...), outputFile: filepath.Join(workDir, name+".out"), done: make(chan struct{})}
	f, err := os.OpenFile(p.outputFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	p.cmd.Stdout, p.cmd.Stderr = f, f
	// Pdeathsig ends the process if the test run is killed. Setpgid keeps signals
	// to the shell's process group from it, such as the SIGHUP that stopped
	// processes receive when the shell ends.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		defer close(p.done)
		_ = p.cmd.Wait() // the exit code is read from ProcessState
	}()
	return p
}

func (p *process) signal(t testing.TB, sig syscall.Signal) {
	t.Helper()
	if err := p.cmd.Process.Signal(sig); err != nil {
		t.Fatalf("signal %s: %v", sig, err)
	}
}

// kill ends the process as kill -9 does and waits for it.
func (p *process) kill() {
	_ = p.cmd.Process.Kill() // it may have ended
	<-p.done
}

// exit waits for the process to end and returns its exit code.
func (p *process) exit(t testing.TB, limit time.Duration) int {
	t.Helper()
	select {
	case <-p.done:
		return p.cmd.ProcessState.ExitCode()
	case <-time.After(limit):
		t.Fatalf("%s has not ended after %s", p.outputFile, limit)
		return -1
	}
}

// eventFields returns the values of the field name in the lines of the process's
// output that contain event.
func (p *process) eventFields(event, name string) []string {
	b, err := os.ReadFile(p.outputFile)
	if err != nil {
		return nil
	}
	var found []string
	for _, line := range strings.Split(string(b), "\n") {
		words := strings.Fields(line)
		if len(words) == 0 || !strings.Contains(line, event) {
			continue
		}
		for _, w := range words {
			if k, v, ok := strings.Cut(w, "="); ok && k == name {
				found = append(found, v)
			}
		}
	}
	return found
}

// runCommand runs the program with args to its end and returns its exit code and
// its output.
func runCommand(t testing.TB, args ...string) (int, string) {
	t.Helper()
	path, err := buildProgram()
	if err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(path, args...)
	out, err := cmd.CombinedOutput()
	if cmd.ProcessState == nil {
		t.Fatal(err)
	}
	return cmd.ProcessState.ExitCode(), string(out)
}

// eventually calls f until it returns no error, and ends the test if it still returns
// one after limit.
func eventually(t testing.TB, limit time.Duration, f func() error) {
	t.Helper()
	if err := retryUntil(limit, f); err != nil {
		t.Fatalf("condition not met after %s: %v", limit, err)
	}
}

func retryUntil(limit time.Duration, f func() error) error {
	const poll = 20 * time.Millisecond
	end := time.Now().Add(limit)
	for {
		err := f()
		if err == nil || time.Now().After(end) {
			return err
		}
		time.Sleep(poll)
	}
}
