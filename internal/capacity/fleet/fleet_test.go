// Package fleet_test measures the processor time, memory and traffic that daemons use
// without requests from callers. It runs one region of real processes on loopback,
// with a growing number of daemons and engines. docs/CAPACITY.md extrapolates from
// the increase per daemon. Run it with
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
	settleDuration  = 15 * time.Second
	measureDuration = 20 * time.Second
	readyTimeout    = 2 * time.Minute
	clockTicks      = 100 // ticks per second (USER_HZ) of the processor times under /proc
)

// daemonCost holds the resources that one process has used since its start.
type daemonCost struct {
	cpuTime  time.Duration
	resident int64 // bytes of memory
	received int64 // bytes of read system calls, sockets included
	sent     int64 // bytes of write system calls, sockets included
}

// BenchmarkFleet reports means over all daemons of a region with three data centres
// and four engines per daemon.
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
	ctx, cancel := context.WithCancel(context.Background())
	options := site.DefaultOptions()
	options.Deployments[0].DataCentres = []string{"north-a", "north-b", "north-c"}
	options.Daemons, options.Engines, options.Adapters = daemons, 4*daemons, 15_000
	options.LogLevel = "Warn"
	testSite, err := site.New(ctx, options)
	require.NoError(b, err)
	processes := startDaemons(b, binary, testSite)
	defer func() {
		stopDaemons(b, processes)
		cancel()
		testSite.Wait()
	}()
	time.Sleep(settleDuration)
	before := costs(b, processes)
	startedAt := time.Now()
	time.Sleep(measureDuration)
	report(b, before, costs(b, processes), time.Since(startedAt))
}

func startDaemons(b *testing.B, binary string, testSite *site.Site) []*exec.Cmd {
	b.Helper()
	var processes []*exec.Cmd
	for _, settings := range testSite.Settings {
		text, err := yaml.Marshal(settings)
		require.NoError(b, err)
		path := filepath.Join(b.TempDir(), settings.Name+".yaml")
		require.NoError(b, os.WriteFile(path, text, 0o600))
		process := exec.Command(binary, "serve", "-settings", path)
		process.Stdout, process.Stderr = io.Discard, io.Discard
		require.NoError(b, process.Start())
		processes = append(processes, process)
	}
	for _, settings := range testSite.Settings {
		require.Eventually(b, func() bool {
			response, err := http.Get("http://" + settings.OperatorAddress + operators.ReadyPath)
			if err != nil {
				return false
			}
			_ = response.Body.Close()
			return response.StatusCode == http.StatusOK
		}, readyTimeout, 100*time.Millisecond)
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
	result := make([]daemonCost, 0, len(processes))
	for _, process := range processes {
		result = append(result, costOf(b, process.Process.Pid))
	}
	return result
}

func costOf(b *testing.B, pid int) daemonCost {
	b.Helper()
	stat := readProc(b, pid, "stat")
	fields := strings.Fields(stat[strings.LastIndex(stat, ")")+1:])
	cost := daemonCost{cpuTime: time.Duration(parseNumber(b, fields[11])+parseNumber(b, fields[12])) * time.Second / clockTicks}
	cost.resident = parseNumber(b, strings.Fields(readProc(b, pid, "statm"))[1]) * int64(os.Getpagesize())
	for _, line := range strings.Split(readProc(b, pid, "io"), "\n") {
		key, value, _ := strings.Cut(line, ": ")
		switch key {
		case "rchar":
			cost.received = parseNumber(b, value)
		case "wchar":
			cost.sent = parseNumber(b, value)
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

func parseNumber(b *testing.B, text string) int64 {
	b.Helper()
	value, err := strconv.ParseInt(text, 10, 64)
	require.NoError(b, err)
	return value
}

func report(b *testing.B, before, after []daemonCost, duration time.Duration) {
	b.Helper()
	var cpuTime time.Duration
	var resident, received, sent int64
	for i := range before {
		cpuTime += after[i].cpuTime - before[i].cpuTime
		resident += after[i].resident
		received += after[i].received - before[i].received
		sent += after[i].sent - before[i].sent
	}
	daemons := float64(len(before))
	b.ReportMetric(100*cpuTime.Seconds()/duration.Seconds()/daemons, "%core/daemon")
	b.ReportMetric(float64(resident)/(1<<20)/daemons, "MB/daemon")
	b.ReportMetric(float64(received)/1000/duration.Seconds()/daemons, "KB/s-in/daemon")
	b.ReportMetric(float64(sent)/1000/duration.Seconds()/daemons, "KB/s-out/daemon")
	b.ReportMetric(0, "ns/op")
}
