package test

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// This file defines the processes that the tests run.

// binaries is where TestMain built the programs.
var binaries string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "knapweedplank-test")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	binaries = dir
	build := exec.Command("go", "build", "-o", dir, "../cmd/...")
	build.Stderr = os.Stderr
	code := 1
	if err := build.Run(); err == nil {
		code = m.Run()
	}
	os.RemoveAll(dir)
	os.Exit(code)
}

// A proc is one running program.
type proc struct {
	cmd  *exec.Cmd
	done chan struct{} // closed once the process has ended
	log  string        // file that holds its standard error
}

// start runs a program and returns it with the first line of its output, if it
// is to print one.
func start(t testing.TB, wantLine bool, name string, args ...string) (*proc, string) {
	t.Helper()
	logs, err := os.CreateTemp(t.TempDir(), name+"-*.log")
	assert.NilError(t, err)
	p := &proc{cmd: exec.Command(filepath.Join(binaries, name), args...), done: make(chan struct{}), log: logs.Name()}
	p.cmd.Stderr = logs
	out, err := p.cmd.StdoutPipe()
	assert.NilError(t, err)
	assert.NilError(t, p.cmd.Start())
	line := ""
	if wantLine {
		line, err = bufio.NewReader(out).ReadString('\n')
		assert.NilError(t, err)
	}
	go func() {
		_ = p.cmd.Wait()
		close(p.done)
	}()
	t.Cleanup(func() {
		p.signal(syscall.SIGCONT)
		p.kill()
		logs.Close()
		p.keepLog(t)
	})
	return p, strings.TrimSpace(line)
}

// keepLogs names a folder for the logs of tests that failed.
const keepLogs = "KP_KEEP_LOGS"

// keepLog copies the log of a test that failed to where the environment says.
func (p *proc) keepLog(t testing.TB) {
	dir := os.Getenv(keepLogs)
	if dir == "" || !t.Failed() {
		return
	}
	data, err := os.ReadFile(p.log)
	if err == nil {
		err = os.WriteFile(filepath.Join(dir, t.Name()+"-"+filepath.Base(p.log)), data, 0o600)
	}
	if err != nil {
		t.Logf("log not kept: %v", err)
	}
}

func (p *proc) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// kill ends the process at once.
func (p *proc) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// exited reports whether the process ended within d, and with which code.
func (p *proc) exited(d time.Duration) (int, bool) {
	select {
	case <-p.done:
		return p.cmd.ProcessState.ExitCode(), true
	case <-time.After(d):
		return 0, false
	}
}

// eventually waits until the condition holds.
func eventually(t testing.TB, limit time.Duration, what string, cond func() bool) {
	t.Helper()
	for end := time.Now().Add(limit); ; {
		if cond() {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("not within %v: %s", limit, what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func writeFile(t testing.TB, path, text string) {
	t.Helper()
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
}
