package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"teaselmoor/internal/standin/loopback"
)

// daemon is a process of the project's program, started as the deploy file says.
type daemon struct {
	name, zone, ip        string
	front, ready, control string
	settings              string
	record                *record
	log                   *os.File
	command               *exec.Cmd
	ended                 chan struct{}
}

// planDaemons chooses the addresses of daemons, which may then be started in any order.
func planDaemons(record *record, folder string, names, zones []string) ([]*daemon, error) {
	var daemons []*daemon
	for i, name := range names {
		addresses, err := loopback.Addresses(3)
		if err != nil {
			return nil, err
		}
		ip := addresses[0][:len(addresses[0])-len(portOf(addresses[0]))-1]
		daemons = append(daemons, &daemon{
			name: name, zone: zones[i], ip: ip, front: addresses[0], ready: addresses[1], control: addresses[2],
			settings: filepath.Join(folder, name+".json"), record: record,
		})
	}
	return daemons, nil
}

func portOf(address string) string {
	for i := len(address) - 1; i >= 0; i-- {
		if address[i] == ':' {
			return address[i+1:]
		}
	}
	return ""
}

// writeSettings writes the settings file of a daemon, with the figures of the sheet of cpc-enrolment.
func (daemon *daemon) writeSettings(storeAddress string, seeds []string, zones []string, bootstrap bool) error {
	regions := make(map[string]string)
	for _, zone := range zones {
		regions[zone] = "norte"
	}
	encoded, err := json.MarshalIndent(map[string]any{
		"NodeName": daemon.name, "Role": "entry", "MachineClass": "front", "Serves": []string{"front", "control"},
		"Ip": daemon.ip, "Zone": daemon.zone, "Region": "norte", "Zones": regions,
		"ListenAddrs": map[string]any{"Front": daemon.front, "Ready": daemon.ready, "Control": daemon.control},
		"PortRange":   []int{7380, 7395}, "Seeds": seeds, "Bootstrap": bootstrap, "InFailureBudget": false,
		"Limits":  map[string]any{"CpuShare": 0.4, "Cores": 1, "MemoryMb": 284, "MaxFds": 4100, "LinkMbps": 1000.0, "DiskMb": 0},
		"DataDir": nil, "Discovery": "platform", "Entry": "vip", "HeartbeatMs": 1200,
		"Contracts":      []string{"base", "drain", "config", "cost", "retry", "recover", "fleet", "stream", "engine", "platform"},
		"FaultTolerance": map[string]any{"Machines": 2, "Zones": 0, "Regions": 0},
		"ContractParams": map[string]any{
			"SeedLagS": 3, "AddrReuseS": 2, "ContactMs": 3000, "AckMs": 4000, "CatchupS": 4, "DrainMs": 2000, "GraceS": 8,
			"LossSlackMs": 200, "ConfigApplyMs": 2000, "DowngradeSlackMs": 250, "OuterMs": 5000, "BudgetRatio": 0.2, "BudgetWindowS": 10,
			"BudgetExtra": 54, "RecoverS": 12, "PassMs": 120, "RetryAfterS": 0, "RequireFence": true, "LeaseMs": 3000, "ThawSlackMs": 300,
			"CeilingWindowS": 5, "CeilingFactor": 1.1, "version_ms": 5000,
		},
		"Platform": map[string]any{
			"Address": storeAddress, "form": "read", "WritesPerS": 400, "ReadsPerS": 2000, "HistoryS": 20, "ValueBytes": 1048576, "TtlMinMs": 1000,
		},
	}, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(daemon.settings, encoded, 0o600)
}

// start starts the process.
func (daemon *daemon) start(program string) error {
	log, err := os.OpenFile(daemon.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command(program, "serve")
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "TEASELMOOR_SETTINGS=" + daemon.settings}
	command.Stdout, command.Stderr = log, log
	started.Lock()
	defer started.Unlock()
	if err := command.Start(); err != nil {
		return err
	}
	if started.processes == nil {
		started.processes = make(map[*os.Process]bool)
	}
	started.processes[command.Process] = true
	ended := make(chan struct{})
	daemon.log, daemon.command, daemon.ended = log, command, ended
	daemon.record.add("daemon %s starts, process %d", daemon.name, command.Process.Pid)
	go func() {
		_ = command.Wait()
		started.Lock()
		delete(started.processes, command.Process)
		started.Unlock()
		daemon.record.add("daemon %s has ended: %s", daemon.name, command.ProcessState)
		_ = log.Close()
		close(ended)
	}()
	return nil
}

// kill ends the process, if it still runs, and waits for its end.
func (daemon *daemon) kill() {
	if daemon.command == nil {
		return
	}
	_ = daemon.command.Process.Kill()
	<-daemon.ended
}

// isReady asks the daemon whether it is ready, as the platform does.
func (daemon *daemon) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + daemon.ready + "/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

var errNotReady = errors.New("the daemons did not get ready")

// awaitReady waits until all daemons are ready.
func awaitReady(daemons []*daemon, limit time.Duration) error {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, daemon := range daemons {
			if daemon.isReady() {
				ready++
			}
		}
		if ready == len(daemons) {
			return nil
		}
	}
	return fmt.Errorf("%w within %s", errNotReady, limit)
}
