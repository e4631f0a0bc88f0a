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

// endpoint is an address to serve and its limits.
type endpoint struct {
	address        string
	handler        http.Handler
	maxConnections int // 0 means no limit
}

// listen opens all listeners, so that a taken address stops the start.
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

// limitListener accepts a connection only while fewer than a limit are open.
type limitListener struct {
	net.Listener
	tokens chan struct{}
	closed chan struct{}
	once   sync.Once // closes closed
}

func newLimitListener(listener net.Listener, limit int) *limitListener {
	return &limitListener{Listener: listener, tokens: make(chan struct{}, limit), closed: make(chan struct{})}
}

// Accept implements net.Listener.
func (listener *limitListener) Accept() (net.Conn, error) {
	select {
	case listener.tokens <- struct{}{}:
	case <-listener.closed:
		return nil, net.ErrClosed
	}
	accepted, err := listener.Listener.Accept()
	if err != nil {
		<-listener.tokens
		return nil, err
	}
	return &limitedConn{Conn: accepted, release: func() { <-listener.tokens }}, nil
}

// Close implements net.Listener.
func (listener *limitListener) Close() error {
	listener.once.Do(func() { close(listener.closed) })
	return listener.Listener.Close()
}

// limitedConn gives its token back when it is closed.
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
