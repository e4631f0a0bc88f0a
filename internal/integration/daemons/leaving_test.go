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

// TestTerminateCutsNothing stops daemons gracefully in the middle of answers:
// the owner, the entry, and both at once.
func TestTerminateCutsNothing(t *testing.T) {
	t.Parallel()
	for name, choose := range map[string]func(owner, entry int) []int{
		"owner": func(owner, _ int) []int { return []int{owner} },
		"entry": func(_, entry int) []int { return []int{entry} },
		"both":  func(owner, entry int) []int { return []int{owner, entry} },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			running := harness.New(t, oneEngine())
			owner, entry := ownerAndEntry(running)
			call := harness.NewCall(running.AdapterAddress("review"), longTokens).Streamed()
			open := beginLong(t, running.Daemons[entry], call)
			for _, at := range choose(owner, entry) {
				running.Daemons[at].Terminate()
			}
			told := open.Finish()
			require.Equal(t, outcome.Answered, told.Kind, "%+v", told)
			running.Judge(call, told)
			for _, at := range choose(owner, entry) {
				require.Zero(t, running.Daemons[at].ExitCode())
			}
			running.JudgeEngines()
		})
	}
}

// leave marks daemons as leaving in the VM list.
func leave(running *harness.Site, leaving int) {
	vms := running.VMs()
	vms[leaving].State = members.Leaving
	running.SetVMs(vms)
}

// TestRollingReplacement replaces every daemon, one after the other, while
// callers go on calling through those that the balancer still offers.
func TestRollingReplacement(t *testing.T) {
	t.Parallel()
	options := site.DefaultOptions()
	options.Engine.AllowsUnloadInUse = true
	running := harness.New(t, options)
	model := running.AdapterAddress("review")
	var replacing atomic.Int64 // index of the daemon that takes no new calls
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
				at := i % len(running.Daemons)
				if int64(at) == replacing.Load() {
					continue
				}
				call := harness.NewCall(model, 10).Streamed()
				told := running.Daemons[at].Do(call)
				running.Judge(call, told)
				switch told.Kind {
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
	for at, daemon := range running.Daemons {
		before := answered.Load()
		running.WaitFor("answers", func() bool { return answered.Load() > before })
		replacing.Store(int64(at))
		leave(running, at)
		daemon.Terminate()
		<-daemon.Exited()
		daemon.Start()
		running.SetVMs(running.VMs())
		daemon.WaitReady()
		replacing.Store(-1)
	}
	close(stop)
	callers.Wait()
	t.Logf("answered %d, not run %d, unknown %d", answered.Load(), notRun.Load(), unknown.Load())
	require.Zero(t, unknown.Load(), "a planned replacement cuts nothing")
	running.JudgeEngines()
}

// TestDaemonLeaving marks a daemon as leaving in the list: its engines move to
// others, and it serves what it has.
func TestDaemonLeaving(t *testing.T) {
	t.Parallel()
	running := harness.New(t, oneEngine())
	owner, entry := ownerAndEntry(running)
	call := harness.NewCall(running.AdapterAddress("review"), longTokens).Streamed()
	open := beginLong(t, running.Daemons[entry], call)
	leave(running, owner)
	told := open.Finish()
	require.Equal(t, outcome.Answered, told.Kind, "%+v", told)
	running.Judge(call, told)
	running.WaitFor("another owner", func() bool {
		now := running.OwnerOf(onlyEngine)
		return now >= 0 && now != owner
	})
	serveAgain(running, running.Daemons[entry], running.AdapterAddress("review"))
	running.JudgeEngines()
}

// TestConfigurationServiceAway serves on while the configuration service is
// down or stale, and takes in what was published once it is back.
func TestConfigurationServiceAway(t *testing.T) {
	t.Parallel()
	for name, mode := range map[string]platform.Mode{"down": platform.Down, "stale": platform.Stale} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			running := harness.New(t, oneEngine())
			daemon := running.Daemons[0]
			before := daemon.Status().ConfigVersion
			running.Platform.SetMode(mode)
			require.NoError(t, running.Publish())
			call := harness.NewCall(running.AdapterAddress("review"), 3)
			told := daemon.Do(call)
			require.Equal(t, outcome.Answered, told.Kind)
			running.Judge(call, told)
			require.Equal(t, before, daemon.Status().ConfigVersion)
			running.Platform.SetMode(platform.Up)
			for _, each := range running.Daemons {
				running.WaitFor("the new configuration", func() bool { return each.Status().ConfigVersion > before })
			}
		})
	}
}
