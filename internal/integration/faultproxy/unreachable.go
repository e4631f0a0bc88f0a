package faultproxy

import (
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Reachability is what happens to attempts to connect to a proxy.
type Reachability int

// Reachabilities of a proxy.
const (
	Reachable  Reachability = iota // attempts succeed
	Refusing                       // attempts are refused, as with no listener
	Unanswered                     // attempts get no answer, as behind a partition
)

// SetReachability changes what happens to attempts to connect. Open connections are not affected.
func (proxy *Proxy) SetReachability(to Reachability) error {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	proxy.stopListening()
	if proxy.ctx.Err() != nil {
		return nil
	}
	switch to {
	case Unanswered:
		opened, err := retryInUse(func() (*blackhole, error) { return newBlackhole(proxy.address) })
		proxy.blackhole = opened
		return err
	case Reachable:
		listener, err := retryInUse(func() (net.Listener, error) { return net.Listen("tcp", proxy.address) })
		if err != nil {
			return errors.Wrap(err, "listen again")
		}
		proxy.listener = listener
		proxy.goroutines.Add(1)
		go func() { defer proxy.goroutines.Done(); proxy.accept(listener) }()
	}
	return nil
}

// Retries of opening a socket at an address that was just closed. A process that is being started holds
// the closed socket until it has loaded its program.
const (
	inUseRetries  = 200
	inUseInterval = 5 * time.Millisecond
)

// retryInUse opens a socket, and tries again while its address is in use.
func retryInUse[Socket any](open func() (Socket, error)) (Socket, error) {
	opened, err := open()
	for range inUseRetries {
		if !errors.Is(err, syscall.EADDRINUSE) {
			break
		}
		time.Sleep(inUseInterval)
		opened, err = open()
	}
	return opened, err
}

// stopListening closes the listener or the blackhole. The mutex must be held.
func (proxy *Proxy) stopListening() {
	if proxy.listener != nil {
		_ = proxy.listener.Close()
		proxy.listener = nil
	}
	if proxy.blackhole != nil {
		proxy.blackhole.close()
		proxy.blackhole = nil
	}
}

// blackhole is a socket that listens and accepts nothing. Its queue is full, so that the kernel drops
// the packets of further attempts to connect.
type blackhole struct {
	socket int
	queued []net.Conn
}

// fillTimeout is how long an attempt to connect waits until the queue counts as full.
const fillTimeout = 50 * time.Millisecond

func newBlackhole(address string) (*blackhole, error) {
	resolved, err := net.ResolveTCPAddr("tcp4", address)
	if err != nil {
		return nil, errors.Wrap(err, "resolve address")
	}
	socket, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, errors.Wrap(err, "open socket")
	}
	opened := &blackhole{socket: socket}
	if err := listenWithoutQueue(socket, resolved); err != nil {
		opened.close()
		return nil, err
	}
	for {
		queued, err := net.DialTimeout("tcp", address, fillTimeout)
		if err != nil {
			return opened, nil
		}
		opened.queued = append(opened.queued, queued)
	}
}

// listenWithoutQueue makes a socket listen at an address, with the shortest queue of connections.
func listenWithoutQueue(socket int, at *net.TCPAddr) error {
	if err := syscall.SetsockoptInt(socket, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return errors.Wrap(err, "set option")
	}
	address := &syscall.SockaddrInet4{Port: at.Port}
	copy(address.Addr[:], at.IP.To4())
	if err := syscall.Bind(socket, address); err != nil {
		return errors.Wrap(err, "bind")
	}
	return errors.Wrap(syscall.Listen(socket, 0), "listen without a queue")
}

func (blackhole *blackhole) close() {
	_ = syscall.Close(blackhole.socket)
	for _, queued := range blackhole.queued {
		_ = queued.Close()
	}
}
