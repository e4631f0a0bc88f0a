package upstream

import (
	"net"
	"time"

	"teaselmoor/internal/base/clock"
)

// Activity is what the connections of a pool show of the links to its servers.
type Activity struct {
	SinceRead   clock.Millis // time since a byte last arrived, or since the pool was made
	SinceOpened clock.Millis // time since a connection was last opened, or since the pool was made
}

// Activity returns the last activity of all connections.
func (pool *Pool) Activity() Activity {
	now := time.Since(pool.started)
	since := func(at int64) clock.Millis { return clock.Millis((now - time.Duration(at)).Milliseconds()) }
	return Activity{SinceRead: since(pool.lastRead.Load()), SinceOpened: since(pool.lastDial.Load())}
}

// activityReader reads from a connection and records when bytes arrive.
type activityReader struct {
	net.Conn
	pool *Pool
}

// Read implements io.Reader.
func (activityReader activityReader) Read(buffer []byte) (int, error) {
	size, err := activityReader.Conn.Read(buffer)
	if size > 0 {
		activityReader.pool.lastRead.Store(int64(time.Since(activityReader.pool.started)))
	}
	return size, err
}
