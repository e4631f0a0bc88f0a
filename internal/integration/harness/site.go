// Package harness runs daemons as real processes for integration tests. The
// stand-ins of a Site run in the test's own process, so that tests can read their
// ledgers and set their faults. Connections between daemons and to engines pass
// through fault proxies, and every daemon reads a VM list of its own.
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

// waitTimeout limits the wait for a condition. Only a failing test reaches it.
const waitTimeout = 60 * time.Second

const pollInterval = 10 * time.Millisecond

// Site is a set of stand-ins with the daemons that use them.
type Site struct {
	*site.Site
	T       testing.TB
	Daemons []*Daemon
	// EngineProxies holds, for each engine, the proxy through which all daemons
	// reach it.
	EngineProxies map[ident.EngineID]*faultproxy.Proxy

	ctx     context.Context
	vms     []members.VM
	proxies []*faultproxy.Proxy
	links   map[[2]int]*faultproxy.Proxy // by indices of the dialing and the dialed daemon
}

// Daemon is one daemon, run as a process that can be restarted.
type Daemon struct {
	*Process
	Settings settings.Settings
	// List is the VM list that this daemon reads.
	List *platform.Platform

	site         *Site
	settingsPath string
}

// New starts stand-ins and daemons and waits until every daemon is ready and
// knows every engine.
func New(t testing.TB, options site.Options) *Site {
	t.Helper()
	testSite := Prepare(t, options)
	for _, daemon := range testSite.Daemons {
		daemon.Start()
	}
	for _, daemon := range testSite.Daemons {
		daemon.WaitReady()
	}
	return testSite
}

// Prepare starts the stand-ins and proxies, but not the daemons.
func Prepare(t testing.TB, options site.Options) *Site {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	standIns, err := site.New(ctx, options)
	require.NoError(t, err)
	testSite := &Site{
		Site: standIns, T: t, ctx: ctx,
		EngineProxies: map[ident.EngineID]*faultproxy.Proxy{}, links: map[[2]int]*faultproxy.Proxy{},
	}
	t.Cleanup(func() {
		cancel()
		standIns.Wait()
		for _, proxy := range testSite.proxies {
			proxy.Wait()
		}
	})
	testSite.proxyEngines()
	testSite.proxyLinks()
	for i := range standIns.Settings {
		testSite.addDaemon(i)
	}
	testSite.SetVMs(testSite.vms)
	require.NoError(t, standIns.Publish())
	return testSite
}

func (testSite *Site) startProxy(target string) *faultproxy.Proxy {
	proxy, err := faultproxy.New(testSite.ctx, "127.0.0.1:0", target)
	require.NoError(testSite.T, err)
	testSite.proxies = append(testSite.proxies, proxy)
	return proxy
}

func (testSite *Site) proxyEngines() {
	for i := range testSite.Config.Engines {
		engine := &testSite.Config.Engines[i]
		testSite.EngineProxies[engine.Name] = testSite.startProxy(engine.Address)
		engine.Address = testSite.EngineProxies[engine.Name].Address()
	}
}

// proxyLinks starts a proxy for each pair of daemons. Of each pair, the daemon
// whose name sorts first dials.
func (testSite *Site) proxyLinks() {
	for i, dialing := range testSite.Settings {
		testSite.vms = append(testSite.vms, members.VM{
			Name: dialing.Name, Address: dialing.InnerAddress, Role: members.EntryRole,
			DataCentre: dialing.DataCentre, Region: dialing.Region, State: members.Live,
		})
		for j := i + 1; j < len(testSite.Settings); j++ {
			testSite.links[[2]int{i, j}] = testSite.startProxy(testSite.Settings[j].InnerAddress)
		}
	}
}

func (testSite *Site) addDaemon(index int) {
	daemon := &Daemon{Settings: testSite.Settings[index], List: platform.New(0), site: testSite}
	listServer := httptest.NewServer(daemon.List)
	testSite.T.Cleanup(listServer.Close)
	daemon.Settings.VMListAddress = strings.TrimPrefix(listServer.URL, "http://")
	daemon.settingsPath = filepath.Join(testSite.T.TempDir(), "settings.yaml")
	daemon.WriteSettings()
	testSite.Daemons = append(testSite.Daemons, daemon)
}

// WriteSettings writes the daemon's settings file, which is read at its next start.
func (daemon *Daemon) WriteSettings() {
	text, err := yaml.Marshal(daemon.Settings)
	require.NoError(daemon.site.T, err)
	require.NoError(daemon.site.T, os.WriteFile(daemon.settingsPath, text, 0o600))
}

// Link returns the proxy between two daemons.
func (testSite *Site) Link(one, other int) *faultproxy.Proxy {
	return testSite.links[[2]int{min(one, other), max(one, other)}]
}

// Isolate sets faults on the links between a daemon and all others.
func (testSite *Site) Isolate(index int, faults faultproxy.Faults) {
	for i := range testSite.Daemons {
		if i != index {
			testSite.Link(index, i).Set(faults)
		}
	}
}

// VMs returns a VM list that names all daemons as live.
func (testSite *Site) VMs() []members.VM {
	return append([]members.VM(nil), testSite.vms...)
}

// SetVMs publishes a VM list to every daemon.
func (testSite *Site) SetVMs(vms []members.VM) {
	for i := range testSite.Daemons {
		testSite.SetVMsOf(i, vms)
	}
}

// SetVMsOf publishes a VM list to one daemon. It replaces the addresses of the
// other daemons by those of the proxies between.
func (testSite *Site) SetVMsOf(index int, vms []members.VM) {
	list := append([]members.VM(nil), vms...)
	for i := range list {
		for j := range testSite.vms {
			if testSite.vms[j].Name == list[i].Name && j != index {
				list[i].Address = testSite.Link(index, j).Address()
			}
		}
	}
	testSite.Daemons[index].List.SetVMs(list)
}

// VMsWithout returns the VM list of all daemons except those given.
func (testSite *Site) VMsWithout(removed ...int) []members.VM {
	var kept []members.VM
	for i, vm := range testSite.vms {
		keep := true
		for _, each := range removed {
			keep = keep && each != i
		}
		if keep {
			kept = append(kept, vm)
		}
	}
	return kept
}

// Start starts the daemon's process; it can be called again once that has ended.
func (daemon *Daemon) Start() {
	daemon.site.T.Helper()
	daemon.Process = start(daemon.site.T, teaselmoor, nil, "serve", "-settings", daemon.settingsPath)
}

// WaitReady waits until the daemon is ready to serve callers and knows every engine.
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

// WaitFor waits until a condition holds, and fails the test after waitTimeout.
func (testSite *Site) WaitFor(description string, condition func() bool) {
	testSite.T.Helper()
	require.Eventually(testSite.T, condition, waitTimeout, pollInterval, description)
}
