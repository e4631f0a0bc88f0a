package reach_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/reach"
)

// TestFailedServersAreNotACut: servers that cannot be connected to while others can must not make a
// daemon count as cut off.
func TestFailedServersAreNotACut(t *testing.T) {
	options := reach.DefaultOptions()
	monitor := reach.New(options)
	view := reach.View{LastRead: 10_000, LastOpened: 5000, Waiting: true, Servers: 40}
	require.Zero(t, monitor.Due(10_000, view))
	monitor.ConnectFailed(10_010)
	require.Equal(t, options.FirstProbes, monitor.Due(10_100, view))
	require.Zero(t, monitor.Due(10_200, view), "the round is running")
	require.Equal(t, options.MostProbes-2, monitor.Probed(false, 2, 40))
	require.False(t, monitor.CutOff())
	require.Zero(t, monitor.Probed(true, options.MostProbes, 40))
	require.False(t, monitor.CutOff())
	require.Zero(t, monitor.Due(20_000, reach.View{LastRead: 19_900, Waiting: true, Servers: 40}), "the failures are over")
}

// TestCutOff: a daemon whose connection attempts all fail counts as cut off until a server is reached.
func TestCutOff(t *testing.T) {
	options := reach.DefaultOptions()
	monitor := reach.New(options)
	view := reach.View{LastRead: 10_000, LastOpened: 5000, Waiting: true, Servers: 5}
	monitor.ConnectFailed(10_000)
	require.Equal(t, 2, monitor.Due(10_100, view), "bytes still arrive over connections that are open")
	require.Equal(t, 3, monitor.Probed(false, 2, 5))
	require.Zero(t, monitor.Probed(false, 5, 5))
	require.True(t, monitor.CutOff())
	require.Zero(t, monitor.Due(10_200, view), "the last round was just before")
	for now := 10_100 + options.Recheck; now < 20_000; now += options.Recheck {
		require.Equal(t, 2, monitor.Due(now, view))
		require.Zero(t, monitor.Probed(false, 2, 5))
		require.True(t, monitor.CutOff())
	}
	require.Equal(t, 2, monitor.Due(20_100, view))
	monitor.Probed(true, 2, 5)
	require.False(t, monitor.CutOff())
	view.LastRead = 20_200
	require.Zero(t, monitor.Due(20_400, view))
}

// TestSilentServers: servers are probed if nothing arrives while requests wait, but not if the daemon
// was idle before.
func TestSilentServers(t *testing.T) {
	options := reach.DefaultOptions()
	monitor := reach.New(options)
	view := reach.View{LastRead: 10_000, LastOpened: 5000, Servers: 5}
	require.Zero(t, monitor.Due(60_000, view))
	view.Waiting = true
	require.Zero(t, monitor.Due(60_100, view), "the request has just been sent")
	require.Zero(t, monitor.Due(60_100+options.Silence-1, view))
	require.Equal(t, 2, monitor.Due(60_100+options.Silence, view))
	monitor.Probed(true, 2, 5)
	view.LastRead = 61_000
	require.Zero(t, monitor.Due(61_000+options.Silence-1, view))
	require.Zero(t, reach.New(options).Due(70_000, reach.View{Waiting: true}), "there is no server")
}

// TestSingleServer: a daemon of a site with one server is cut off if that server is unreachable.
func TestSingleServer(t *testing.T) {
	monitor := reach.New(reach.DefaultOptions())
	monitor.ConnectFailed(clock.Second)
	require.Equal(t, 1, monitor.Due(clock.Second, reach.View{LastRead: clock.Second, Servers: 1}))
	require.Zero(t, monitor.Probed(false, 1, 1))
	require.True(t, monitor.CutOff())
}

// TestIdleOwner: a daemon that owns servers finds out that it is cut off without requests of its own.
func TestIdleOwner(t *testing.T) {
	options := reach.DefaultOptions()
	view := reach.View{LastRead: 10_000, LastOpened: 5000, Owner: true, Servers: 5}
	require.Zero(t, reach.New(options).Due(10_000+options.Idle-1, view))
	require.Equal(t, 2, reach.New(options).Due(10_000+options.Idle, view))
}
