// Package harness runs daemons as real processes for integration tests. The
// stand-ins live in the test's own process, so that their ledgers and faults
// are at hand; a fault proxy stands between each two daemons and before each
// engine, and every daemon reads a VM list of its own.
package harness

import (
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"gopkg.in/yaml.v3"

	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/base/settings"
	"teaselmoor/internal/control/members"
	"teaselmoor/internal/integration/faultproxy"
	"teaselmoor/internal/serve/operators"
	"teaselmoor/internal/standin/platform"
	"teaselmoor/internal/standin/site"
)

// patience is how long a condition is waited for. It only bounds a test that
// fails; none passes by waiting for a time.
const patience = 60 * time.Second

const pollInterval = 10 * time.Millisecond

// Site is a set of stand-ins with daemons before them.
type Site struct {
	*site.Site
	T       testing.TB
	Daemons []*Daemon
	// EngineProxies stand between all daemons and each engine.
	EngineProxies map[ident.EngineID]*faultproxy.Proxy

	ctx     context.Context
	vms     []members.VM
	proxies []*faultproxy.Proxy
	link    map[[2]int]*faultproxy.Proxy // by index of the dialing and the dialed daemon
}

// Daemon is one daemon, as a process that can be started again.
type Daemon struct {
	*Process
	Settings settings.Settings
	// List is the VM list that this daemon reads.
	List *platform.Platform

	site *Site
	path string // of the settings file
}

// New starts stand-ins and daemons and waits until every daemon is ready and
// knows every engine.
func New(t testing.TB, options site.Options) *Site {
	t.Helper()
	running := Prepare(t, options)
	for _, daemon := range running.Daemons {
		daemon.Start()
	}
	for _, daemon := range running.Daemons {
		daemon.WaitReady()
	}
	return running
}

// Prepare starts the stand-ins and proxies; the daemons are not started yet.
func Prepare(t testing.TB, options site.Options) *Site {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	standIns, err := site.New(ctx, options)
	require.NoError(t, err)
	running := &Site{
		Site: standIns, T: t, ctx: ctx,
		EngineProxies: map[ident.EngineID]*faultproxy.Proxy{}, link: map[[2]int]*faultproxy.Proxy{},
	}
	t.Cleanup(func() {
		cancel()
		standIns.Wait()
		for _, proxy := range running.proxies {
			proxy.Wait()
		}
	})
	running.proxyEngines()
	running.proxyLinks()
	for i := range standIns.Settings {
		running.addDaemon(i)
	}
	running.SetVMs(running.vms)
	require.NoError(t, standIns.Publish())
	return running
}

func (running *Site) proxy(target string) *faultproxy.Proxy {
	proxy, err := faultproxy.New(running.ctx, "127.0.0.1:0", target)
	require.NoError(running.T, err)
	running.proxies = append(running.proxies, proxy)
	return proxy
}

func (running *Site) proxyEngines() {
	for i := range running.Config.Engines {
		engine := &running.Config.Engines[i]
		running.EngineProxies[engine.Name] = running.proxy(engine.Address)
		engine.Address = running.EngineProxies[engine.Name].Address()
	}
}

// proxyLinks puts a proxy between each two daemons; the one whose name sorts
// first dials.
func (running *Site) proxyLinks() {
	for i, dialing := range running.Settings {
		running.vms = append(running.vms, members.VM{
			Name: dialing.Name, Address: dialing.InnerAddress, Role: members.EntryRole,
			DataCentre: dialing.DataCentre, Region: dialing.Region, State: members.Live,
		})
		for j := i + 1; j < len(running.Settings); j++ {
			running.link[[2]int{i, j}] = running.proxy(running.Settings[j].InnerAddress)
		}
	}
}

func (running *Site) addDaemon(at int) {
	daemon := &Daemon{Settings: running.Settings[at], List: platform.New(0), site: running}
	listServer := httptest.NewServer(daemon.List)
	running.T.Cleanup(listServer.Close)
	daemon.Settings.VMListAddress = strings.TrimPrefix(listServer.URL, "http://")
	daemon.path = filepath.Join(running.T.TempDir(), "settings.yaml")
	daemon.Configure()
	running.Daemons = append(running.Daemons, daemon)
}

// Configure writes the daemon's settings, for its next start.
func (daemon *Daemon) Configure() {
	text, err := yaml.Marshal(daemon.Settings)
	require.NoError(daemon.site.T, err)
	require.NoError(daemon.site.T, os.WriteFile(daemon.path, text, 0o600))
}

// Link returns the proxy between two daemons.
func (running *Site) Link(one, other int) *faultproxy.Proxy {
	return running.link[[2]int{min(one, other), max(one, other)}]
}

// Isolate sets the faults on the links between a daemon and all others.
func (running *Site) Isolate(at int, faults faultproxy.Faults) {
	for i := range running.Daemons {
		if i != at {
			running.Link(at, i).Set(faults)
		}
	}
}

// VMs returns the list of all daemons, live.
func (running *Site) VMs() []members.VM {
	return append([]members.VM(nil), running.vms...)
}

// SetVMs publishes a VM list to every daemon.
func (running *Site) SetVMs(vms []members.VM) {
	for i := range running.Daemons {
		running.SetVMsOf(i, vms)
	}
}

// SetVMsOf publishes a VM list that only one daemon sees. Addresses are those
// of the proxies on its way.
func (running *Site) SetVMsOf(at int, vms []members.VM) {
	seen := append([]members.VM(nil), vms...)
	for i := range seen {
		for j := range running.vms {
			if running.vms[j].Name == seen[i].Name && j != at {
				seen[i].Address = running.Link(at, j).Address()
			}
		}
	}
	running.Daemons[at].List.SetVMs(seen)
}

// Without returns the list of all daemons but those given.
func (running *Site) Without(gone ...int) []members.VM {
	var left []members.VM
	for i, vm := range running.vms {
		keep := true
		for _, each := range gone {
			keep = keep && each != i
		}
		if keep {
			left = append(left, vm)
		}
	}
	return left
}

// Start starts the daemon's process, also after an earlier one has ended.
func (daemon *Daemon) Start() {
	daemon.site.T.Helper()
	daemon.Process = start(daemon.site.T, teaselmoor, nil, "serve", "-settings", daemon.path)
}

// WaitReady waits until the daemon serves callers and knows every engine.
func (daemon *Daemon) WaitReady() {
	daemon.site.T.Helper()
	daemon.site.WaitFor("daemon ready", func() bool {
		return daemon.isReady() && len(daemon.Status().Known) >= len(daemon.site.Config.Engines)
	})
}

func (daemon *Daemon) isReady() bool {
	response, err := http.Get("http://" + daemon.Settings.OperatorAddress + operators.ReadyPath)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// WaitFor waits for a condition.
func (running *Site) WaitFor(what string, condition func() bool) {
	running.T.Helper()
	require.Eventually(running.T, condition, patience, pollInterval, what)
}
