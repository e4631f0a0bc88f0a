package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Bounds of the small site, as its settings state them.
const (
	contact = 3 * time.Second // ContactMs
	lease   = 3 * time.Second // LeaseMs
	grace   = 8 * time.Second // GraceS
)

// bench is the surroundings of a case.
type bench struct {
	trouble bool
	folder  string // for settings and logs
	started time.Time
	store   *store
	daemons []*daemon
	runners []*runner

	mutex  sync.Mutex // guards record
	record *bufio.Writer
	file   *os.File
}

func newBench(folder string, trouble bool) (*bench, error) {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	temporary, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	bench := &bench{trouble: trouble, folder: temporary, started: time.Now(), record: bufio.NewWriter(file), file: file}
	bench.store, err = newStore()
	if err != nil {
		return nil, err
	}
	bench.note("disruption: %v", trouble)
	return bench, nil
}

// note writes a line to the record, with the time since the start in seconds.
func (bench *bench) note(format string, values ...any) {
	bench.mutex.Lock()
	defer bench.mutex.Unlock()
	_, _ = fmt.Fprintf(bench.record, "%8.3f  %s\n", time.Since(bench.started).Seconds(), fmt.Sprintf(format, values...))
}

// close ends all processes and servers, and writes the record.
func (bench *bench) close() {
	for _, daemon := range bench.daemons {
		daemon.kill()
	}
	for _, runner := range bench.runners {
		runner.close()
	}
	_ = bench.store.listener.Close()
	_ = os.RemoveAll(bench.folder)
	bench.mutex.Lock()
	defer bench.mutex.Unlock()
	_ = bench.record.Flush()
	_ = bench.file.Close()
}

// daemon is a daemon that runs as a process.
type daemon struct {
	bench   *bench
	name    string
	ip      string
	front   string
	ready   string
	control string
	path    string // of its settings
	command *exec.Cmd
	exited  chan struct{}
	starts  []time.Time
}

// Ports of a daemon; each has an IP address of its own.
const (
	frontPort   = "8149"
	readyPort   = "8141"
	controlPort = "8144"
)

// newDaemon returns a daemon that has not been started. Each daemon of a case has a number of its own.
func (bench *bench) newDaemon(number int) *daemon {
	return bench.newNamedDaemon(number, fmt.Sprintf("front-oviedo-a-%d", number+1))
}

// newNamedDaemon returns a daemon with a name.
func (bench *bench) newNamedDaemon(number int, name string) *daemon {
	ip := fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()%128, os.Getpid()/128%256, number+1)
	daemon := &daemon{
		bench: bench, name: name, ip: ip, front: ip + ":" + frontPort, ready: ip + ":" + readyPort,
		control: ip + ":" + controlPort, path: filepath.Join(bench.folder, fmt.Sprintf("settings-%d.json", number)),
	}
	bench.daemons = append(bench.daemons, daemon)
	return daemon
}

// writeSettings writes the settings of a daemon, with the figures of the small site.
func (daemon *daemon) writeSettings(seeds []string, first bool) error {
	settings := map[string]any{
		"NodeName": daemon.name, "Role": "entry", "MachineClass": "front", "Serves": []string{"front", "control"},
		"Ip": daemon.ip, "Zone": "oviedo-a", "Region": "norte", "Zones": map[string]string{"oviedo-a": "norte"},
		"ListenAddrs": map[string]string{"Front": daemon.front, "Ready": daemon.ready, "Control": daemon.control},
		"PortRange":   []int{7380, 7395}, "Seeds": seeds, "Bootstrap": first, "Discovery": "platform", "Entry": "vip", "HeartbeatMs": 1200,
		"Limits": map[string]any{"CpuShare": 0.4, "Cores": 1, "MemoryMb": 284, "MaxFds": 4100, "LinkMbps": 1000.0, "DiskMb": 0},
		"ContractParams": map[string]any{
			"SeedLagS": 3, "AddrReuseS": 2, "ContactMs": contact.Milliseconds(), "AckMs": 4000, "CatchupS": 4, "DrainMs": 2000, "GraceS": grace.Seconds(),
			"LossSlackMs": 200, "ConfigApplyMs": 2000, "DowngradeSlackMs": 250, "OuterMs": 5000, "BudgetRatio": 0.2, "BudgetWindowS": 10,
			"BudgetExtra": 54, "RecoverS": 12, "PassMs": 120, "RetryAfterS": 0, "RequireFence": true, "LeaseMs": lease.Milliseconds(), "ThawSlackMs": 300,
			"CeilingWindowS": 5, "CeilingFactor": 1.1, "version_ms": 5000,
		},
		"Platform": map[string]any{"Address": daemon.bench.store.address(), "form": "read", "WritesPerS": 400, "ReadsPerS": 2000, "HistoryS": 20, "ValueBytes": 1 << 20, "TtlMinMs": 1000},
	}
	encoded, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	return os.WriteFile(daemon.path, encoded, 0o600)
}

// start starts the process of a daemon, with the command of the deploy file.
func (daemon *daemon) start() error {
	log, err := os.OpenFile(filepath.Join(daemon.bench.folder, daemon.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	daemon.command = exec.Command("target/teaselmoor-gateway", "serve")
	daemon.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "TEASELMOOR_SETTINGS=" + daemon.path}
	daemon.command.Stdout, daemon.command.Stderr = log, log
	daemon.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // it ends with this process
	if err := daemon.command.Start(); err != nil {
		return err
	}
	daemon.starts = append(daemon.starts, time.Now())
	exited := make(chan struct{})
	daemon.exited = exited
	command := daemon.command
	go func() { defer close(exited); _ = command.Wait() }()
	daemon.bench.note("%s started", daemon.name)
	return nil
}

// signal sends a signal to the process of a daemon.
func (daemon *daemon) signal(signal syscall.Signal) {
	daemon.bench.note("%s gets %v", daemon.name, signal)
	_ = daemon.command.Process.Signal(signal)
}

// kill ends the process of a daemon, if it runs.
func (daemon *daemon) kill() {
	if daemon.command == nil || daemon.command.Process == nil {
		return
	}
	_ = daemon.command.Process.Kill()
	<-daemon.exited
}

// awaitReady waits until a daemon says that it is ready.
func (daemon *daemon) awaitReady() error {
	client := http.Client{Timeout: time.Second}
	for range 100 {
		response, err := client.Get("http://" + daemon.ready + "/ready")
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("%s is not ready after 10 s", daemon.name)
}

// listenLoopback listens at a free port of the loopback address.
func listenLoopback() (net.Listener, error) {
	return net.Listen("tcp", "127.0.0.1:0")
}
