// Package fleet_test measures what daemons spend on control: real processes of
// one region on loopback, idle, with a growing number of daemons and engines.
// docs/CAPACITY.md multiplies its slopes. Run it with
//
//	go test -run '^$' -bench Fleet -benchtime 1x -timeout 30m ./internal/capacity/fleet
package fleet_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"gopkg.in/yaml.v3"

	"teaselmoor/internal/serve/operators"
	"teaselmoor/internal/standin/site"
)

const (
	settleSpan  = 15 * time.Second
	measureSpan = 20 * time.Second
	readyWait   = 2 * time.Minute
	clockTicks  = 100 // USER_HZ of the processor times under /proc
)

// daemonCost is what one process has used so far.
type daemonCost struct {
	processor time.Duration
	resident  int64 // bytes
	received  int64 // bytes of read system calls, sockets included
	sent      int64
}

// BenchmarkFleet reports the mean over all daemons of a region of three data
// centres, four engines to a daemon.
func BenchmarkFleet(b *testing.B) {
	binary := build(b)
	for _, daemons := range []int{3, 7, 26, 78} {
		b.Run(fmt.Sprintf("daemons=%d", daemons), func(b *testing.B) {
			for b.Loop() {
				measure(b, binary, daemons)
			}
		})
	}
}

func build(b *testing.B) string {
	b.Helper()
	binary := filepath.Join(b.TempDir(), "teaselmoor")
	output, err := exec.Command("go", "build", "-o", binary, "teaselmoor/cmd/teaselmoor").CombinedOutput()
	require.NoError(b, err, "%s", output)
	return binary
}

func measure(b *testing.B, binary string, daemons int) {
	b.Helper()
	ctx, end := context.WithCancel(context.Background())
	options := site.DefaultOptions()
	options.Deployments[0].DataCentres = []string{"north-a", "north-b", "north-c"}
	options.Daemons, options.Engines, options.Adapters = daemons, 4*daemons, 15_000
	options.LogLevel = "Warn"
	running, err := site.New(ctx, options)
	require.NoError(b, err)
	processes := startDaemons(b, binary, running)
	defer func() {
		stopDaemons(b, processes)
		end()
		running.Wait()
	}()
	time.Sleep(settleSpan)
	before := costs(b, processes)
	began := time.Now()
	time.Sleep(measureSpan)
	report(b, before, costs(b, processes), time.Since(began))
}

func startDaemons(b *testing.B, binary string, running *site.Site) []*exec.Cmd {
	b.Helper()
	var processes []*exec.Cmd
	for _, each := range running.Settings {
		text, err := yaml.Marshal(each)
		require.NoError(b, err)
		path := filepath.Join(b.TempDir(), each.Name+".yaml")
		require.NoError(b, os.WriteFile(path, text, 0o600))
		process := exec.Command(binary, "serve", "-settings", path)
		process.Stdout, process.Stderr = io.Discard, io.Discard
		require.NoError(b, process.Start())
		processes = append(processes, process)
	}
	for _, each := range running.Settings {
		require.Eventually(b, func() bool {
			response, err := http.Get("http://" + each.OperatorAddress + operators.ReadyPath)
			if err != nil {
				return false
			}
			_ = response.Body.Close()
			return response.StatusCode == http.StatusOK
		}, readyWait, 100*time.Millisecond)
	}
	return processes
}

func stopDaemons(b *testing.B, processes []*exec.Cmd) {
	b.Helper()
	for _, process := range processes {
		require.NoError(b, process.Process.Signal(syscall.SIGKILL))
		_ = process.Wait()
	}
}

func costs(b *testing.B, processes []*exec.Cmd) []daemonCost {
	b.Helper()
	all := make([]daemonCost, 0, len(processes))
	for _, process := range processes {
		all = append(all, costOf(b, process.Process.Pid))
	}
	return all
}

func costOf(b *testing.B, pid int) daemonCost {
	b.Helper()
	stat := readProc(b, pid, "stat")
	fields := strings.Fields(stat[strings.LastIndex(stat, ")")+1:])
	cost := daemonCost{processor: time.Duration(number(b, fields[11])+number(b, fields[12])) * time.Second / clockTicks}
	cost.resident = number(b, strings.Fields(readProc(b, pid, "statm"))[1]) * int64(os.Getpagesize())
	for _, line := range strings.Split(readProc(b, pid, "io"), "\n") {
		key, value, _ := strings.Cut(line, ": ")
		switch key {
		case "rchar":
			cost.received = number(b, value)
		case "wchar":
			cost.sent = number(b, value)
		}
	}
	return cost
}

func readProc(b *testing.B, pid int, file string) string {
	b.Helper()
	text, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), file))
	require.NoError(b, err)
	return string(text)
}

func number(b *testing.B, text string) int64 {
	b.Helper()
	value, err := strconv.ParseInt(text, 10, 64)
	require.NoError(b, err)
	return value
}

func report(b *testing.B, before, after []daemonCost, span time.Duration) {
	b.Helper()
	var processor time.Duration
	var resident, received, sent int64
	for i := range before {
		processor += after[i].processor - before[i].processor
		resident += after[i].resident
		received += after[i].received - before[i].received
		sent += after[i].sent - before[i].sent
	}
	daemons := float64(len(before))
	b.ReportMetric(100*processor.Seconds()/span.Seconds()/daemons, "%core/daemon")
	b.ReportMetric(float64(resident)/(1<<20)/daemons, "MB/daemon")
	b.ReportMetric(float64(received)/1000/span.Seconds()/daemons, "KB/s-in/daemon")
	b.ReportMetric(float64(sent)/1000/span.Seconds()/daemons, "KB/s-out/daemon")
	b.ReportMetric(0, "ns/op")
}
