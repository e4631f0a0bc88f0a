// Package faultproxy is a TCP proxy for tests that cuts, freezes and delays
// connections, in one direction or both. It passes bytes on and knows nothing
// of what they mean.
package faultproxy

import (
	"bytes"
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const bufferSize = 32 << 10

// Faults say what happens to bytes on their way. The zero value passes all.
type Faults struct {
	// FreezeThere and FreezeBack hold bytes towards the target and from it;
	// connections stay open and new ones are accepted.
	FreezeThere bool
	FreezeBack  bool
	// Refuse closes new connections at once.
	Refuse bool
	// Delay is added to each piece of bytes.
	Delay time.Duration
	// CutThere and CutBack close a connection once that many bytes have gone
	// towards the target or from it since the faults were set; 0 never does.
	CutThere int64
	CutBack  int64
	// CountFrom begins the count towards the target with the first piece that
	// contains this text; empty counts all.
	CountFrom string
}

// cutAt is the count at which a direction is cut.
func (faults *Faults) cutAt(there bool) int64 {
	if there {
		return faults.CutThere
	}
	return faults.CutBack
}

// Proxy passes connections on to one target.
type Proxy struct {
	target   string
	listener net.Listener
	ctx      context.Context
	ended    sync.WaitGroup

	mutex   sync.Mutex // guards faults, changed, pairs
	faults  Faults
	changed chan struct{} // closed at each change
	pairs   map[*pair]struct{}
}

// pair is one connection and its continuation to the target.
type pair struct {
	client, target net.Conn
}

func (pair *pair) close() {
	_ = pair.client.Close()
	_ = pair.target.Close()
}

// New starts a proxy at the listening address. It ends with the context.
func New(ctx context.Context, listen, target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	proxy := &Proxy{
		target: target, listener: listener, ctx: ctx, changed: make(chan struct{}), pairs: map[*pair]struct{}{},
	}
	proxy.ended.Add(2)
	go func() { defer proxy.ended.Done(); proxy.accept() }()
	go func() {
		defer proxy.ended.Done()
		<-ctx.Done()
		_ = listener.Close()
		proxy.Cut()
	}()
	return proxy, nil
}

// Address is where the proxy listens.
func (proxy *Proxy) Address() string {
	return proxy.listener.Addr().String()
}

// Wait returns once the context has ended and every connection has.
func (proxy *Proxy) Wait() {
	proxy.ended.Wait()
}

// Set replaces the faults, for open connections too.
func (proxy *Proxy) Set(faults Faults) {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	proxy.faults = faults
	close(proxy.changed)
	proxy.changed = make(chan struct{})
}

// Cut closes every open connection.
func (proxy *Proxy) Cut() {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	for open := range proxy.pairs {
		open.close()
	}
}

func (proxy *Proxy) current() (Faults, <-chan struct{}) {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	return proxy.faults, proxy.changed
}

func (proxy *Proxy) accept() {
	for {
		client, err := proxy.listener.Accept()
		if err != nil {
			return
		}
		if faults, _ := proxy.current(); faults.Refuse {
			_ = client.Close()
			continue
		}
		proxy.ended.Add(1)
		go func() { defer proxy.ended.Done(); proxy.pass(client) }()
	}
}

func (proxy *Proxy) pass(client net.Conn) {
	target, err := net.Dial("tcp", proxy.target)
	if err != nil {
		_ = client.Close()
		return
	}
	open := &pair{client: client, target: target}
	proxy.mutex.Lock()
	proxy.pairs[open] = struct{}{}
	proxy.mutex.Unlock()
	if proxy.ctx.Err() != nil {
		open.close()
	}
	there := make(chan struct{})
	go func() { defer close(there); proxy.copy(open, client, target, true) }()
	proxy.copy(open, target, client, false)
	<-there
	proxy.mutex.Lock()
	delete(proxy.pairs, open)
	proxy.mutex.Unlock()
}

// copy passes bytes in one direction until either side closes.
func (proxy *Proxy) copy(open *pair, from, to net.Conn, there bool) {
	defer open.close()
	buffer := make([]byte, bufferSize)
	count := &counter{there: there}
	for {
		size, err := from.Read(buffer)
		if err != nil {
			return
		}
		piece, cut := count.limit(proxy.gate(there), buffer[:size])
		if _, err := to.Write(piece); err != nil || cut {
			return
		}
	}
}

// counter counts the bytes of one direction since the faults were set.
type counter struct {
	there   bool
	of      Faults
	counted int64
	began   bool
}

// limit returns how much of a piece may pass, and whether the cut comes then.
func (counter *counter) limit(faults Faults, piece []byte) ([]byte, bool) {
	if faults != counter.of {
		counter.of, counter.counted, counter.began = faults, 0, false
	}
	at := faults.cutAt(counter.there)
	if at == 0 {
		return piece, false
	}
	if counter.there && !counter.began && !bytes.Contains(piece, []byte(faults.CountFrom)) {
		return piece, false
	}
	counter.began = true
	left := at - counter.counted
	counter.counted += int64(len(piece))
	if int64(len(piece)) < left {
		return piece, false
	}
	return piece[:max(0, left)], true
}

// gate holds a piece as long as the faults ask for.
func (proxy *Proxy) gate(there bool) Faults {
	delayed := false
	for {
		faults, changed := proxy.current()
		frozen := there && faults.FreezeThere || !there && faults.FreezeBack
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
