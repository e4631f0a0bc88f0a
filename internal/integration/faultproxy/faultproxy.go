// Package faultproxy provides a TCP proxy for tests that cuts, freezes and delays
// connections, in one direction or both. It does not interpret the bytes that it
// forwards.
package faultproxy

import (
	"bytes"
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const bufferSize = 32 << 10 // bytes

// Faults are the faults that a proxy injects. With the zero value, it forwards all bytes.
type Faults struct {
	// FreezeToTarget stops the forwarding of bytes to the target. Connections stay open
	// and new ones are accepted.
	FreezeToTarget bool
	// FreezeFromTarget does the same for bytes from the target.
	FreezeFromTarget bool
	// HoldEnds holds the end of a connection, too, in a direction in which no bytes are forwarded, as where packets are lost.
	HoldEnds bool
	// RefuseNew closes new connections as soon as they are accepted.
	RefuseNew bool
	// Delay is the time that each chunk is held before it is forwarded.
	Delay time.Duration
	// CutToTarget and CutFromTarget close a connection once that many bytes have
	// been forwarded to the target or from it since the faults were set; 0 means
	// never.
	CutToTarget   int64
	CutFromTarget int64
	// CountFrom starts the count for CutToTarget with the first chunk that
	// contains this text; if empty, all bytes count.
	CountFrom string
}

// cutLimit returns the number of bytes after which a direction is cut.
func (faults *Faults) cutLimit(toTarget bool) int64 {
	if toTarget {
		return faults.CutToTarget
	}
	return faults.CutFromTarget
}

// Proxy forwards connections to one target.
type Proxy struct {
	target     string
	address    string
	ctx        context.Context
	goroutines sync.WaitGroup

	mutex       sync.Mutex // guards the fields below
	listener    net.Listener
	blackhole   *blackhole // replaces the listener while connection attempts get no answer; nil: it does not
	faults      Faults
	changed     chan struct{} // closed and replaced at each change of faults
	connections map[*connection]struct{}
}

// connection is a client's connection and the proxy's own connection to the target.
type connection struct {
	client, target net.Conn
}

func (connection *connection) close() {
	_ = connection.client.Close()
	_ = connection.target.Close()
}

// New starts a proxy that listens at an address until the context ends.
func New(ctx context.Context, listen, target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	proxy := &Proxy{
		target: target, address: listener.Addr().String(), ctx: ctx, listener: listener, changed: make(chan struct{}), connections: map[*connection]struct{}{},
	}
	proxy.goroutines.Add(2)
	go func() { defer proxy.goroutines.Done(); proxy.accept(listener) }()
	go func() {
		defer proxy.goroutines.Done()
		<-ctx.Done()
		proxy.mutex.Lock()
		proxy.stopListening()
		proxy.mutex.Unlock()
		proxy.CloseConnections()
	}()
	return proxy, nil
}

// Address returns the address at which the proxy listens.
func (proxy *Proxy) Address() string {
	return proxy.address
}

// Wait returns once the context has ended and all connections are closed.
func (proxy *Proxy) Wait() {
	proxy.goroutines.Wait()
}

// Set replaces the faults, also for open connections.
func (proxy *Proxy) Set(faults Faults) {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	proxy.faults = faults
	close(proxy.changed)
	proxy.changed = make(chan struct{})
}

// CloseConnections closes every open connection.
func (proxy *Proxy) CloseConnections() {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	for connection := range proxy.connections {
		connection.close()
	}
}

func (proxy *Proxy) current() (Faults, <-chan struct{}) {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	return proxy.faults, proxy.changed
}

// accept forwards the connections of a listener until it is closed.
func (proxy *Proxy) accept(listener net.Listener) {
	for {
		client, err := listener.Accept()
		if err != nil {
			return
		}
		if faults, _ := proxy.current(); faults.RefuseNew {
			_ = client.Close()
			continue
		}
		proxy.goroutines.Add(1)
		go func() { defer proxy.goroutines.Done(); proxy.forward(client) }()
	}
}

func (proxy *Proxy) forward(client net.Conn) {
	target, err := net.Dial("tcp", proxy.target)
	if err != nil {
		_ = client.Close()
		return
	}
	open := &connection{client: client, target: target}
	proxy.mutex.Lock()
	proxy.connections[open] = struct{}{}
	proxy.mutex.Unlock()
	if proxy.ctx.Err() != nil {
		open.close()
	}
	copiedToTarget := make(chan struct{})
	go func() { defer close(copiedToTarget); proxy.copy(open, client, target, true) }()
	proxy.copy(open, target, client, false)
	<-copiedToTarget
	proxy.mutex.Lock()
	delete(proxy.connections, open)
	proxy.mutex.Unlock()
}

// copy forwards bytes in one direction until either side closes.
func (proxy *Proxy) copy(connection *connection, from, to net.Conn, toTarget bool) {
	defer connection.close()
	buffer := make([]byte, bufferSize)
	counter := &byteCounter{toTarget: toTarget}
	for {
		size, err := from.Read(buffer)
		if err != nil {
			if faults, _ := proxy.current(); faults.HoldEnds {
				proxy.awaitForwarding(toTarget)
			}
			return
		}
		chunk, cut := counter.truncate(proxy.awaitForwarding(toTarget), buffer[:size])
		if _, err := to.Write(chunk); err != nil || cut {
			return
		}
	}
}

// byteCounter counts the bytes of one direction of a connection since the faults were set.
type byteCounter struct {
	toTarget bool
	faults   Faults
	counted  int64
	started  bool
}

// truncate counts a chunk. It returns the part of the chunk to forward, and whether
// to close the connection after it.
func (byteCounter *byteCounter) truncate(faults Faults, chunk []byte) ([]byte, bool) {
	if faults != byteCounter.faults {
		byteCounter.faults, byteCounter.counted, byteCounter.started = faults, 0, false
	}
	limit := faults.cutLimit(byteCounter.toTarget)
	if limit == 0 {
		return chunk, false
	}
	if byteCounter.toTarget && !byteCounter.started && !bytes.Contains(chunk, []byte(faults.CountFrom)) {
		return chunk, false
	}
	byteCounter.started = true
	left := limit - byteCounter.counted
	byteCounter.counted += int64(len(chunk))
	if int64(len(chunk)) < left {
		return chunk, false
	}
	return chunk[:max(0, left)], true
}

// awaitForwarding waits until the faults allow a chunk to be forwarded in a direction, and
// returns the faults that apply then.
func (proxy *Proxy) awaitForwarding(toTarget bool) Faults {
	delayed := false
	for {
		faults, changed := proxy.current()
		frozen := toTarget && faults.FreezeToTarget || !toTarget && faults.FreezeFromTarget
		var after <-chan time.Time
		switch {
		case !frozen && (delayed || faults.Delay == 0):
			return faults
		case !frozen:
			after = time.After(faults.Delay)
		}
		select {
		case <-proxy.ctx.Done():
			return faults
		case <-changed:
		case <-after:
			delayed = true
		}
	}
}
