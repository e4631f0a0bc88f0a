package harness

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// Process is one started program. Every test ends those that it started.
type Process struct {
	t       testing.TB
	command *exec.Cmd
	logPath string
	exited  chan struct{} // closed once the process has ended
	state   *os.ProcessState
}

// program builds a program of this module once for all tests of a package.
type program struct {
	path  string
	build sync.Once
	built string
	err   error
}

var (
	teaselmoor = &program{path: "teaselmoor/cmd/teaselmoor"}
	standIns   = &program{path: "teaselmoor/cmd/standins"}
	gateways   = &program{path: "teaselmoor/cmd/teaselmoor-gateway"}
)

// binary builds the program at its first use, with the race detector when the
// test has it.
func (program *program) binary(t testing.TB) string {
	t.Helper()
	program.build.Do(func() {
		var directory string
		if directory, program.err = os.MkdirTemp("", "integration"); program.err != nil {
			return
		}
		program.built = filepath.Join(directory, filepath.Base(program.path))
		arguments := []string{"build", "-o", program.built}
		if raceEnabled {
			arguments = append(arguments, "-race")
		}
		var out []byte
		out, program.err = exec.Command("go", append(arguments, program.path)...).CombinedOutput()
		t.Log(string(out))
	})
	require.NoError(t, program.err, "build %s", program.path)
	return program.built
}

// RemoveBinaries removes the built programs; TestMain calls it at its end.
func RemoveBinaries() {
	for _, each := range []*program{teaselmoor, standIns, gateways} {
		if each.built != "" {
			_ = os.RemoveAll(filepath.Dir(each.built))
		}
	}
}

// StandIns starts cmd/standins with arguments.
func StandIns(t testing.TB, arguments ...string) *Process {
	t.Helper()
	return start(t, standIns, nil, arguments...)
}

// Gateway starts cmd/teaselmoor-gateway with additions to its environment.
func Gateway(t testing.TB, environment []string, arguments ...string) *Process {
	t.Helper()
	return start(t, gateways, environment, arguments...)
}

func start(t testing.TB, program *program, environment []string, arguments ...string) *Process {
	t.Helper()
	log, err := os.CreateTemp(t.TempDir(), "log")
	require.NoError(t, err)
	defer func() { _ = log.Close() }()
	command := exec.Command(program.binary(t), arguments...)
	command.Stdout, command.Stderr = log, log
	command.Env = append(os.Environ(), environment...)
	require.NoError(t, command.Start())
	process := &Process{t: t, command: command, logPath: log.Name(), exited: make(chan struct{})}
	go func() {
		defer close(process.exited)
		_ = command.Wait()
		process.state = command.ProcessState
	}()
	t.Cleanup(process.end)
	return process
}

// end kills the process and shows its log when the test failed.
func (process *Process) end() {
	process.Kill()
	<-process.exited
	if process.t.Failed() {
		process.t.Logf("log of %s:\n%s", process.command.Path, tail(process.Log()))
	}
}

const shownLog = 6000 // bytes

func tail(text string) string {
	return text[max(0, len(text)-shownLog):]
}

// Log returns what the process has written.
func (process *Process) Log() string {
	text, err := os.ReadFile(process.logPath)
	if err != nil {
		return err.Error()
	}
	return string(text)
}

func (process *Process) signal(signal os.Signal) {
	_ = process.command.Process.Signal(signal)
}

// Kill ends the process at once.
func (process *Process) Kill() { process.signal(syscall.SIGKILL) }

// Freeze stops the process from running until Wake.
func (process *Process) Freeze() { process.signal(syscall.SIGSTOP) }

// Wake lets a frozen process go on.
func (process *Process) Wake() { process.signal(syscall.SIGCONT) }

// HangUp asks for its settings to be read again.
func (process *Process) HangUp() { process.signal(syscall.SIGHUP) }

// Terminate asks for a graceful shutdown.
func (process *Process) Terminate() { process.signal(syscall.SIGTERM) }

// Exited is closed once the process has ended.
func (process *Process) Exited() <-chan struct{} { return process.exited }

// ExitCode returns the code of a process that has ended.
func (process *Process) ExitCode() int {
	<-process.exited
	return process.state.ExitCode()
}

// ResidentBytes is the memory that the process has resident.
func (process *Process) ResidentBytes() int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", process.command.Process.Pid))
	require.NoError(process.t, err)
	fields := strings.Fields(string(text))
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	require.NoError(process.t, err)
	return pages * int64(os.Getpagesize())
}
