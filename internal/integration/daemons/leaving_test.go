package daemons_test

import (
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"teaselmoor/internal/control/members"
	"teaselmoor/internal/decide/outcome"
	"teaselmoor/internal/integration/harness"
	"teaselmoor/internal/standin/platform"
	"teaselmoor/internal/standin/site"
)

// TestTerminateCutsNothing stops daemons gracefully in the middle of an answer: the
// owner, the entry, and both. The answer must complete.
func TestTerminateCutsNothing(t *testing.T) {
	t.Parallel()
	for name, choose := range map[string]func(owner, entry int) []int{
		"owner": func(owner, _ int) []int { return []int{owner} },
		"entry": func(_, entry int) []int { return []int{entry} },
		"both":  func(owner, entry int) []int { return []int{owner, entry} },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			testSite := harness.New(t, oneEngineOptions())
			owner, entry := ownerAndEntry(testSite)
			call := harness.NewCall(testSite.AdapterAddress("review"), longTokens).WithStreaming()
			openCall := startStream(t, testSite.Daemons[entry], call)
			for _, index := range choose(owner, entry) {
				testSite.Daemons[index].Terminate()
			}
			result := openCall.Finish()
			require.Equal(t, outcome.Answered, result.Kind, "%+v", result)
			testSite.CheckResult(call, result)
			for _, index := range choose(owner, entry) {
				require.Zero(t, testSite.Daemons[index].ExitCode())
			}
			testSite.CheckEngines()
		})
	}
}

// markLeaving marks a daemon as leaving in the VM list.
func markLeaving(testSite *harness.Site, index int) {
	vms := testSite.VMs()
	vms[index].State = members.Leaving
	testSite.SetVMs(vms)
}

// TestRollingReplacement restarts every daemon, one after the other, while callers
// call the daemons that the load balancer would still offer. No call may end with
// an unknown outcome.
func TestRollingReplacement(t *testing.T) {
	t.Parallel()
	options := site.DefaultOptions()
	options.Engine.AllowsUnloadInUse = true
	testSite := harness.New(t, options)
	model := testSite.AdapterAddress("review")
	var replacing atomic.Int64 // index of the daemon that gets no new calls, or -1
	replacing.Store(-1)
	var answered, notRun, unknown atomic.Int64
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for caller := range 4 {
		callers.Add(1)
		go func() {
			defer callers.Done()
			for i := caller; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				index := i % len(testSite.Daemons)
				if int64(index) == replacing.Load() {
					continue
				}
				call := harness.NewCall(model, 10).WithStreaming()
				result := testSite.Daemons[index].Do(call)
				testSite.CheckResult(call, result)
				switch result.Kind {
				case outcome.Answered:
					answered.Add(1)
				case outcome.NotRun:
					notRun.Add(1)
				default:
					unknown.Add(1)
				}
			}
		}()
	}
	for index, daemon := range testSite.Daemons {
		before := answered.Load()
		testSite.WaitFor("answers", func() bool { return answered.Load() > before })
		replacing.Store(int64(index))
		markLeaving(testSite, index)
		daemon.Terminate()
		<-daemon.Exited()
		daemon.Start()
		testSite.SetVMs(testSite.VMs())
		daemon.WaitReady()
		replacing.Store(-1)
	}
	close(stop)
	callers.Wait()
	t.Logf("answered %d, not run %d, unknown %d", answered.Load(), notRun.Load(), unknown.Load())
	require.Zero(t, unknown.Load(), "a planned replacement interrupts no call")
	testSite.CheckEngines()
}

// TestDaemonLeaving marks a daemon as leaving in the VM list. It must finish the
// requests that it has, and its engines must move to other owners.
func TestDaemonLeaving(t *testing.T) {
	t.Parallel()
	testSite := harness.New(t, oneEngineOptions())
	owner, entry := ownerAndEntry(testSite)
	call := harness.NewCall(testSite.AdapterAddress("review"), longTokens).WithStreaming()
	openCall := startStream(t, testSite.Daemons[entry], call)
	markLeaving(testSite, owner)
	result := openCall.Finish()
	require.Equal(t, outcome.Answered, result.Kind, "%+v", result)
	testSite.CheckResult(call, result)
	testSite.WaitFor("another owner", func() bool {
		current := testSite.OwnerOf(onlyEngine)
		return current >= 0 && current != owner
	})
	waitUntilServing(testSite, testSite.Daemons[entry], testSite.AdapterAddress("review"))
	testSite.CheckEngines()
}

// TestConfigurationServiceUnavailable checks that daemons go on serving while the
// configuration service is down or stale, and apply what was published meanwhile
// once it is available again.
func TestConfigurationServiceUnavailable(t *testing.T) {
	t.Parallel()
	for name, mode := range map[string]platform.Mode{"down": platform.Down, "stale": platform.Stale} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			testSite := harness.New(t, oneEngineOptions())
			daemon := testSite.Daemons[0]
			before := daemon.Status().ConfigVersion
			testSite.Platform.SetMode(mode)
			require.NoError(t, testSite.Publish())
			call := harness.NewCall(testSite.AdapterAddress("review"), 3)
			result := daemon.Do(call)
			require.Equal(t, outcome.Answered, result.Kind)
			testSite.CheckResult(call, result)
			require.Equal(t, before, daemon.Status().ConfigVersion)
			testSite.Platform.SetMode(platform.Up)
			for _, each := range testSite.Daemons {
				testSite.WaitFor("the new configuration", func() bool { return each.Status().ConfigVersion > before })
			}
		})
	}
}
