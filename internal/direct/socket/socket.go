// Package socket looks at the state of TCP connections without reading from them: what the other side has done may lie in the
// socket long before it is read. It does not close connections.
package socket

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"

	"teaselmoor/internal/base/clock"
)

// Idle reports whether a connection is open and has nothing to read. It must not be called while another goroutine reads.
func Idle(conn net.Conn) bool {
	raw, ok := rawConn(conn)
	if !ok {
		return false
	}
	idle := false
	err := raw.Read(func(fd uintptr) bool {
		_, err := peek(fd)
		idle = err == syscall.EAGAIN
		return true
	})
	return err == nil && idle
}

// State is what a socket tells of a connection.
type State struct {
	Ended    bool // the other side has closed or reset the connection
	Readable bool // there are bytes to read
}

// Look returns the state of a connection; the zero State if the socket does not tell. It may be called while another goroutine reads.
func Look(conn net.Conn) State {
	raw, ok := rawConn(conn)
	if !ok {
		return State{}
	}
	state := State{}
	err := raw.Control(func(fd uintptr) {
		size, err := peek(fd)
		state.Readable = err == nil && size > 0
		state.Ended = err == nil && size == 0 || err == syscall.ECONNRESET || closedByPeer(fd)
	})
	if err != nil {
		return State{}
	}
	return state
}

// Ended reports whether the other side has closed or reset a connection, as far as the socket tells; false if it does not.
func Ended(conn net.Conn) bool {
	return Look(conn).Ended
}

// Peek copies bytes that can be read to a buffer, which remain to be read, and returns how many they are.
func Peek(conn net.Conn, buffer []byte) int {
	raw, ok := rawConn(conn)
	if !ok {
		return 0
	}
	size := 0
	err := raw.Control(func(fd uintptr) {
		size, _, _ = syscall.Recvfrom(int(fd), buffer, syscall.MSG_PEEK|syscall.MSG_DONTWAIT) // -1 if it fails
	})
	if err != nil {
		return 0
	}
	return max(0, size)
}

// SinceReceived returns the time since bytes last came from the other side, whether or not they have been read; 0 if the socket does
// not tell. Earlier bytes may have come long before.
func SinceReceived(conn net.Conn) clock.Millis {
	raw, ok := rawConn(conn)
	if !ok {
		return 0
	}
	since := clock.Millis(0)
	err := raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			since = clock.Millis(info.Last_data_recv)
		}
	})
	if err != nil {
		return 0
	}
	return since
}

// peek returns the number of bytes that can be read, up to one. It is 0 if the other side has closed the connection.
func peek(fd uintptr) (int, error) {
	var one [1]byte
	size, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return size, err
}

// States of a TCP connection of which the other side has closed its half, by the numbers of Linux.
const (
	stateClose     = 7
	stateCloseWait = 8
)

// Reset reports whether a connection has ended at once in both directions, as after a reset, and not only in the other side's. It is true
// also if an earlier read or write has had the error of the reset, after which the next one finds a plain end.
func Reset(conn net.Conn) bool {
	raw, ok := rawConn(conn)
	if !ok {
		return false
	}
	reset := false
	err := raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		reset = err == nil && info.State == stateClose
	})
	return err == nil && reset
}

// closedByPeer reports whether the other side has closed the connection, also while there are bytes to read before that.
func closedByPeer(fd uintptr) bool {
	info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	return err == nil && (info.State == stateClose || info.State == stateCloseWait)
}

func rawConn(conn net.Conn) (syscall.RawConn, bool) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return nil, false
	}
	raw, err := tcp.SyscallConn()
	return raw, err == nil
}
