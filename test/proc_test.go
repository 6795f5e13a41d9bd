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

// This file builds and runs the processes of the tests.

// binDir is the directory of the programs that TestMain built.
var binDir string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "knapweedplank-test")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	binDir = dir
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
	cmd     *exec.Cmd
	done    chan struct{} // closed once the process has ended
	logPath string        // path of the file with its standard error
}

// start runs a program until the test ends. If wantLine is set, start waits for the
// first line of the standard output and returns it.
func start(t testing.TB, wantLine bool, name string, args ...string) (*proc, string) {
	t.Helper()
	logs, err := os.CreateTemp(t.TempDir(), name+"-*.log")
	assert.NilError(t, err)
	p := &proc{cmd: exec.Command(filepath.Join(binDir, name), args...), done: make(chan struct{}), logPath: logs.Name()}
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
		p.copyLog(t)
	})
	return p, strings.TrimSpace(line)
}

// keepLogsEnv is the environment variable that names a directory for the logs of
// failed tests.
const keepLogsEnv = "KP_KEEP_LOGS"

// copyLog copies the process's log to the directory in keepLogsEnv if the test
// failed.
func (p *proc) copyLog(t testing.TB) {
	dir := os.Getenv(keepLogsEnv)
	if dir == "" || !t.Failed() {
		return
	}
	data, err := os.ReadFile(p.logPath)
	if err == nil {
		err = os.WriteFile(filepath.Join(dir, t.Name()+"-"+filepath.Base(p.logPath)), data, 0o600)
	}
	if err != nil {
		t.Logf("copying a log failed: %v", err)
	}
}

func (p *proc) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// kill sends SIGKILL and waits for the process to end.
func (p *proc) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// exited waits up to d for the process to end and reports its exit code and
// whether it ended.
func (p *proc) exited(d time.Duration) (int, bool) {
	select {
	case <-p.done:
		return p.cmd.ProcessState.ExitCode(), true
	case <-time.After(d):
		return 0, false
	}
}

// eventually polls cond until it holds, and fails the test after the limit.
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
