package peers

import (
	"context"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/gorilla/websocket"
	"github.com/pkg/errors"

	"teaselmoor/internal/base/clock"
)

// HeartbeatPath is the HTTP path at which a daemon accepts heartbeats of the peers that it works for.
const HeartbeatPath = "/heartbeats"

// senderParameter is the parameter of HeartbeatPath that names the daemon whose heartbeats are sent.
const senderParameter = "from"

// heartbeatRedial is the time between two attempts to connect.
const heartbeatRedial = 50 * time.Millisecond

// SendHeartbeats sends heartbeats of the daemon from to the one at an address, one at each interval, until the context ends. A heartbeat is
// an empty message.
func SendHeartbeats(ctx context.Context, options Options, address, from string, interval clock.Millis) {
	for ctx.Err() == nil {
		_ = sendHeartbeats(ctx, options, address, from, interval) // a peer that is not reached hears nothing
		select {
		case <-ctx.Done():
		case <-time.After(heartbeatRedial):
		}
	}
}

// sendHeartbeats opens a connection, and sends heartbeats on it until it fails or the context ends.
func sendHeartbeats(ctx context.Context, options Options, address, from string, interval clock.Millis) error {
	dialer := websocket.Dialer{
		HandshakeTimeout: options.DialTimeout.Duration(), ReadBufferSize: options.BufferBytes, WriteBufferSize: options.BufferBytes,
		NetDialContext: (&net.Dialer{Timeout: options.DialTimeout.Duration()}).DialContext,
	}
	target := url.URL{Scheme: "ws", Host: address, Path: HeartbeatPath, RawQuery: url.Values{senderParameter: {from}}.Encode()}
	conn, response, err := dialer.DialContext(ctx, target.String(), nil)
	if err != nil {
		return errors.Wrap(err, "connect")
	}
	_ = response.Body.Close()
	defer func() { _ = conn.Close() }()
	ticker := time.NewTicker(interval.Duration())
	defer ticker.Stop()
	for {
		if err := conn.SetWriteDeadline(time.Now().Add(options.WriteTimeout.Duration())); err != nil {
			return errors.Wrap(err, "set deadline")
		}
		if err := conn.WriteMessage(websocket.BinaryMessage, nil); err != nil {
			return errors.Wrap(err, "send heartbeat")
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// ServeHeartbeats accepts a connection with heartbeats, and calls heard with their sender at each one, until the connection fails or the
// context ends.
func ServeHeartbeats(ctx context.Context, options Options, writer http.ResponseWriter, request *http.Request, heard func(from string)) {
	from := request.URL.Query().Get(senderParameter)
	if from == "" {
		http.Error(writer, "heartbeats without a sender", http.StatusBadRequest)
		return
	}
	upgrader := websocket.Upgrader{HandshakeTimeout: options.DialTimeout.Duration(), ReadBufferSize: options.BufferBytes, WriteBufferSize: options.BufferBytes}
	conn, err := upgrader.Upgrade(writer, request, nil)
	if err != nil {
		return // the upgrader has sent the error response
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	defer func() { _ = conn.Close() }()
	conn.SetReadLimit(maxHeartbeatBytes)
	for {
		if _, _, err := conn.ReadMessage(); err != nil {
			return // the sender connects again
		}
		heard(from)
	}
}

// maxHeartbeatBytes leaves room for fields of later versions.
const maxHeartbeatBytes = 1 << 10
