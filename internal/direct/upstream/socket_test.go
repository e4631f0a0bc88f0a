package upstream_test

import (
	"net"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/upstream"
)

// Socket options of Linux that package syscall lacks.
const (
	keepAliveIdle     = 4
	keepAliveInterval = 5
	keepAliveCount    = 6
	userTimeout       = 18
)

// TestUserTimeoutAgreesWithKeepAlive guards against a user timeout that has keep-alive probes give up earlier
// or later than their count says: Linux then goes by the user timeout alone.
func TestUserTimeoutAgreesWithKeepAlive(t *testing.T) {
	address := answering(t, func(int, net.Conn) {})
	opened, err := upstream.New(upstream.DefaultOptions()).Dial(t.Context(), address)
	require.NoError(t, err)
	defer func() { _ = opened.Close() }()
	raw, err := opened.(*net.TCPConn).SyscallConn()
	require.NoError(t, err)
	values := make(map[int]int)
	require.NoError(t, raw.Control(func(fd uintptr) {
		for _, option := range []int{keepAliveIdle, keepAliveInterval, keepAliveCount, userTimeout} {
			values[option], _ = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, option)
		}
	}))
	byProbes := clock.Millis(values[keepAliveIdle]+values[keepAliveInterval]*values[keepAliveCount]) * clock.Second
	require.Equal(t, byProbes, clock.Millis(values[userTimeout]))
	require.Equal(t, 3*clock.Second, byProbes, "the time after which a partition counts")
}
