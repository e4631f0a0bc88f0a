package upstream

import (
	"context"
	"net"
)

// Dial opens a connection with the pool's options.
func (pool *Pool) Dial(ctx context.Context, address string) (net.Conn, error) {
	return pool.dialer.DialContext(ctx, "tcp", address)
}
