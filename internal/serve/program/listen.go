package program

import (
	"net"
	"net/http"
	"sync"

	"github.com/pkg/errors"

	"teaselmoor/internal/base/settings"
)

// server is one HTTP server with its listener.
type server struct {
	http     *http.Server
	listener net.Listener
}

func (server *server) serve() error {
	err := server.http.Serve(server.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrapf(err, "serve %s", server.listener.Addr())
}

// endpoint is an address to serve, with its handler and connection limit.
type endpoint struct {
	address        string
	handler        http.Handler
	maxConnections int // 0 means no limit
}

// listen opens all listeners before any is served, so that the daemon does not
// start when one of the addresses is in use.
func listen(endpoints []endpoint, limits settings.Callers) ([]*server, error) {
	servers := make([]*server, 0, len(endpoints))
	for _, each := range endpoints {
		listener, err := net.Listen("tcp", each.address)
		if err != nil {
			closeAll(servers)
			return nil, errors.Wrap(err, "listen")
		}
		if each.maxConnections > 0 {
			listener = newLimitListener(listener, each.maxConnections)
		}
		servers = append(servers, &server{listener: listener, http: &http.Server{
			Handler:           each.handler,
			ReadHeaderTimeout: limits.HeaderTimeoutMillis.Duration(),
			IdleTimeout:       limits.IdleTimeoutMillis.Duration(),
			MaxHeaderBytes:    limits.MaxHeaderBytes,
		}})
	}
	return servers, nil
}

func closeAll(servers []*server) {
	for _, server := range servers {
		_ = server.listener.Close()
	}
}

// limitListener accepts a connection only while fewer than its limit are open.
// Each open connection holds a slot in the channel slots.
type limitListener struct {
	net.Listener
	slots  chan struct{}
	closed chan struct{}
	once   sync.Once // closes closed
}

func newLimitListener(listener net.Listener, limit int) *limitListener {
	return &limitListener{Listener: listener, slots: make(chan struct{}, limit), closed: make(chan struct{})}
}

// Accept implements net.Listener.
func (listener *limitListener) Accept() (net.Conn, error) {
	select {
	case listener.slots <- struct{}{}:
	case <-listener.closed:
		return nil, net.ErrClosed
	}
	accepted, err := listener.Listener.Accept()
	if err != nil {
		<-listener.slots
		return nil, err
	}
	return &limitedConn{Conn: accepted, release: func() { <-listener.slots }}, nil
}

// Close implements net.Listener.
func (listener *limitListener) Close() error {
	listener.once.Do(func() { close(listener.closed) })
	return listener.Listener.Close()
}

// limitedConn frees its slot at the limitListener when it is closed.
type limitedConn struct {
	net.Conn
	once    sync.Once // calls release
	release func()
}

// Close implements net.Conn.
func (conn *limitedConn) Close() error {
	err := conn.Conn.Close()
	conn.once.Do(conn.release)
	return err
}
