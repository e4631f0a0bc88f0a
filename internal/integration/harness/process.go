package harness

import (
	"errors"
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

// Process is one started program. It is killed at the end of the test that started it.
type Process struct {
	t       testing.TB
	command *exec.Cmd
	logPath string
	exited  chan struct{} // closed once the process has ended
	state   *os.ProcessState
}

// program is a program of this module that is built once for all tests of a package.
type program struct {
	packagePath string
	plain       bool // built without the race detector in any case
	buildOnce   sync.Once
	binaryPath  string
	err         error
}

var (
	teaselmoor = &program{packagePath: "teaselmoor/cmd/teaselmoor"}
	standIns   = &program{packagePath: "teaselmoor/cmd/standins"}
	gateways   = &program{packagePath: "teaselmoor/cmd/teaselmoor-gateway"}

	plainGateways = &program{packagePath: "teaselmoor/cmd/teaselmoor-gateway", plain: true}
)

// binary returns the path of the program's binary and builds it at the first use,
// with the race detector if the test has it enabled and the program is not to be plain.
func (program *program) binary(t testing.TB) string {
	t.Helper()
	program.buildOnce.Do(func() {
		var directory string
		if directory, program.err = os.MkdirTemp("", "integration"); program.err != nil {
			return
		}
		program.binaryPath = filepath.Join(directory, filepath.Base(program.packagePath))
		arguments := []string{"build", "-o", program.binaryPath}
		if RaceEnabled && !program.plain {
			arguments = append(arguments, "-race")
		}
		var out []byte
		out, program.err = exec.Command("go", append(arguments, program.packagePath)...).CombinedOutput()
		t.Log(string(out))
	})
	require.NoError(t, program.err, "build %s", program.packagePath)
	return program.binaryPath
}

// RemoveBinaries removes the built programs; TestMain calls it after the tests.
func RemoveBinaries() {
	for _, each := range []*program{teaselmoor, standIns, gateways, plainGateways} {
		if each.binaryPath != "" {
			_ = os.RemoveAll(filepath.Dir(each.binaryPath))
		}
	}
}

// StartStandIns starts cmd/standins.
func StartStandIns(t testing.TB, arguments ...string) *Process {
	t.Helper()
	return start(t, standIns, nil, arguments...)
}

// StartGateway starts cmd/teaselmoor-gateway with additional environment variables.
func StartGateway(t testing.TB, environment []string, arguments ...string) *Process {
	t.Helper()
	return start(t, gateways, environment, arguments...)
}

// StartPlainGateway starts cmd/teaselmoor-gateway without the race detector, so that its memory is that of a daemon of users.
func StartPlainGateway(t testing.TB, environment []string, arguments ...string) *Process {
	t.Helper()
	return start(t, plainGateways, environment, arguments...)
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

// end kills the process and prints the end of its log if the test failed.
func (process *Process) end() {
	process.Kill()
	<-process.exited
	if !process.t.Failed() {
		return
	}
	process.t.Logf("log of %s:\n%s", process.command.Path, tail(process.Log()))
	if KeepsLogs() {
		KeepLog(process.t, fmt.Sprintf("%d.log", process.command.Process.Pid), []byte(process.Log()))
	}
}

// keptLogsVariable is the environment variable with the directory in which the whole logs of failed tests are kept; empty: they are
// removed.
const keptLogsVariable = "TEASELMOOR_TEST_LOGS"

// KeepsLogs reports whether the whole logs of failed tests are kept.
func KeepsLogs() bool { return os.Getenv(keptLogsVariable) != "" }

// KeepLog keeps a log of a failed test, under a file name.
func KeepLog(t testing.TB, name string, log []byte) {
	kept := filepath.Join(os.Getenv(keptLogsVariable), name)
	if err := os.WriteFile(kept, log, 0o600); err != nil {
		t.Logf("cannot keep the log: %v", err)
	}
}

const maxShownLogBytes = 6000

func tail(text string) string {
	return text[max(0, len(text)-maxShownLogBytes):]
}

// Log returns what the process has written to its standard output and error.
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

// Kill ends the process with SIGKILL.
func (process *Process) Kill() { process.signal(syscall.SIGKILL) }

// Freeze suspends the process.
func (process *Process) Freeze() { process.signal(syscall.SIGSTOP) }

// Unfreeze resumes a frozen process.
func (process *Process) Unfreeze() { process.signal(syscall.SIGCONT) }

// ReloadSettings requests, with SIGHUP, that the process read its settings again.
func (process *Process) ReloadSettings() { process.signal(syscall.SIGHUP) }

// Terminate requests a graceful shutdown with SIGTERM.
func (process *Process) Terminate() { process.signal(syscall.SIGTERM) }

// Exited returns a channel that is closed once the process has ended.
func (process *Process) Exited() <-chan struct{} { return process.exited }

// ExitCode waits until the process has ended and returns its exit code.
func (process *Process) ExitCode() int {
	<-process.exited
	return process.state.ExitCode()
}

// OpenDescriptors returns the number of open file descriptors of the process, 0 if it has ended.
func (process *Process) OpenDescriptors() int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", process.command.Process.Pid))
	if err != nil {
		return 0
	}
	return len(entries)
}

// ResidentBytes returns the resident memory of the process, 0 if it has ended.
func (process *Process) ResidentBytes() int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", process.command.Process.Pid))
	if errors.Is(err, os.ErrNotExist) || errors.Is(err, syscall.ESRCH) {
		return 0
	}
	require.NoError(process.t, err)
	fields := strings.Fields(string(text))
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	require.NoError(process.t, err)
	return pages * int64(os.Getpagesize())
}
