package upstream

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"

	"github.com/pkg/errors"

	"teaselmoor/internal/base/clock"
)

// Call is a request that is sent once.
type Call struct {
	Request *http.Request
	// Body replaces the request's own body, in pieces, which are not copied. The request must state its length.
	Body [][]byte
	// Name is what the response is known by. Calls with the same name are sent on different connections, and one without a name
	// is sent on a connection of its own.
	Name    string
	Matches Matches
	// Doubt is called if bytes come after the response while the connection is idle: the response may have been one to an earlier
	// request, sent once more. Nil: the name of the response tells them apart.
	Doubt func()
	// Identification finds out which process gets the request. Nil: any process that answers at the address.
	Identification *Identification
}

// Answer is the response of a backend server. The caller of Send must call Close.
type Answer struct {
	*http.Response
	// StartedAt is the start of the process that answers, in Unix milliseconds; 0: it was not identified or states none.
	StartedAt int64
	Use       Use
	Match     Match
	pool      *Pool
	conn      *conn
	written   chan error  // nil when the request was written before the response was read
	isWritten atomic.Bool // the whole request has been written
	stop      func() bool // stops closing the connection when the context ends
}

// Send sends a request and returns when the head of its response has arrived. The connection is closed when the context ends.
// Errors are of type *Error. One with Refused set means that the process was not accepted.
func (pool *Pool) Send(ctx context.Context, address string, call Call) (*Answer, error) {
	encoded, err := call.encode(pool.options.InlineBytes)
	if err != nil {
		return nil, &Error{Err: errors.Wrap(err, "encode request")}
	}
	for ended := 0; ; {
		used, err := pool.get(ctx, address, call.Name)
		if err != nil {
			return nil, &Error{Dial: true, Err: errors.Wrap(err, "connect")}
		}
		var answer *Answer
		if call.Identification != nil {
			used.identified = used.identified || ended >= maxEnded
			err = pool.identify(ctx, used, call.Identification)
		}
		if errors.Is(err, errEnds) {
			ended++
			continue
		}
		if err == nil {
			answer, err = pool.roundTrip(ctx, used, call, encoded)
		}
		var failed *Error
		if errors.As(err, &failed) && !failed.Sent && !failed.Refused && used.reused && ctx.Err() == nil {
			continue // the server had closed the idle connection before the first byte was sent
		}
		return answer, err
	}
}

// sentKey is the key in a context of the function that is called when a request has been sent.
type sentKey struct{}

// WithSent returns a context with which a function is called when a request has been written, or as far as it is written before its
// response is read.
func WithSent(ctx context.Context, sent func()) context.Context {
	return context.WithValue(ctx, sentKey{}, sent)
}

// roundTrip writes a request to a connection and reads the head of its response.
func (pool *Pool) roundTrip(ctx context.Context, used *conn, call Call, encoded [][]byte) (*Answer, error) {
	answer := &Answer{StartedAt: used.startedAt, pool: pool, conn: used}
	answer.stop = context.AfterFunc(ctx, used.reset)
	used.recordRequest(call.Name)
	used.doubt = nil
	if err := answer.writeRequest(encoded, pool.options.InlineBytes); err != nil {
		answer.discard()
		return nil, err
	}
	if sent, ok := ctx.Value(sentKey{}).(func()); ok {
		sent()
	}
	response, match, err := pool.readAnswer(used, call.Request, call.Matches)
	if err != nil {
		answer.discard()
		return nil, &Error{Sent: true, Use: used.use(), Err: err}
	}
	used.doubt = call.Doubt
	answer.Response, answer.Match, answer.Use = response, match, used.use()
	response.Body = &answerBody{ReadCloser: response.Body, answer: answer}
	return answer, nil
}

// writeRequest writes a short request at once, and a longer one in the background.
func (answer *Answer) writeRequest(encoded [][]byte, inline int) error {
	if len(encoded) == 1 && len(encoded[0]) <= inline {
		written, err := answer.conn.Write(encoded[0])
		if err != nil {
			return &Error{Sent: written > 0 || !answer.conn.reused, Err: errors.Wrap(err, "send request")}
		}
		answer.isWritten.Store(true)
		return nil
	}
	answer.written = make(chan error, 1)
	go func() {
		err := answer.conn.writePieces(encoded)
		answer.isWritten.Store(err == nil)
		answer.written <- err
	}()
	return nil
}

// IsWritten reports whether the whole request has been written, so that its body is no longer used.
func (answer *Answer) IsWritten() bool {
	return answer.isWritten.Load()
}

// discard resets the connection of a failed exchange.
func (answer *Answer) discard() {
	answer.stop()
	answer.conn.reset()
	answer.pool.closeConn(answer.conn)
}

// reset closes a connection without sending what is still to be sent, which could otherwise reach the
// server after the request was sent to another one.
func (conn *conn) reset() {
	if tcp, ok := conn.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // the connection is closed in any case
	}
	_ = conn.Conn.Close()
}

// Drain reads the rest of a response that is not needed, within a number of bytes, and closes it. The connection is kept for reuse if the
// response has ended by then.
func (answer *Answer) Drain(limit int64) {
	answer.Close(discard(answer.Body, limit) == nil)
}

// Close keeps the connection for reuse if the whole response was read and the
// connection is still usable, and closes it otherwise. It is not kept after a response without
// a name, as nothing would tell a copy of it from a later response.
func (answer *Answer) Close(whole bool) {
	stopped := answer.stop()
	if !whole {
		answer.conn.reset()
	}
	if answer.conn.reader.Buffered() > 0 {
		answer.conn.raiseDoubt()
	}
	if !stopped || !whole || answer.Match == ByOrder || answer.Response.Close || answer.writePending() || answer.conn.reader.Buffered() > 0 {
		answer.pool.closeConn(answer.conn)
		return
	}
	answer.pool.put(answer.conn, keepAlive(answer.Header))
}

// writePending reports whether the request is still being written, or writing it failed.
func (answer *Answer) writePending() bool {
	if answer.written == nil {
		return false
	}
	select {
	case err := <-answer.written:
		return err != nil
	default:
		return true
	}
}

// keepAlive returns how long a server keeps an idle connection. It returns 0 if the server does
// not say, or says 0.
func keepAlive(header http.Header) clock.Millis {
	for parameter := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(parameter), "=")
		seconds, err := strconv.Atoi(value)
		if name == "timeout" && err == nil {
			return clock.Millis(seconds) * clock.Second
		}
	}
	return 0
}
