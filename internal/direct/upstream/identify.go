package upstream

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"teaselmoor/internal/base/clock"
)

// Identification finds out which process of a server a connection leads to. It is the same one for as long as the
// connection is open, whereas other connections to the address may lead to a later process.
type Identification struct {
	// Request asks the process for its start. It is sent at most once on a connection.
	Request *http.Request
	// Matches returns whether a response is that to Request.
	Matches Matches
	// Read returns the start of the process in Unix milliseconds from a successful response, 0 if it states none.
	Read func(response *http.Response) (int64, error)
	// Accept reports whether the process may get the request.
	Accept func(startedAt int64) bool
}

// identifyTimeout is the longest wait for the answer of a process. Nothing of the caller's request has been sent then, so
// that another server can still take it.
const identifyTimeout = 1 * clock.Second

// errEnds means that a process has answered, but closes the connection after that.
var errEnds = errors.New("the process closes the connection after its answer")

// maxEnded is the number of connections that may end with the answer to an identification. After that the process counts
// as one that does not state its start.
const maxEnded = 2

// identify finds out which process a connection leads to, if that is not known, and whether it is accepted. It closes the
// connection if it returns an error, but keeps it if the process was not accepted.
func (pool *Pool) identify(ctx context.Context, used *conn, identification *Identification) error {
	if !used.identified {
		if err := pool.readStart(ctx, used, identification); err != nil {
			used.reset()
			pool.closeConn(used)
			return &Error{Err: errors.Wrap(err, "identify process")}
		}
		used.identified = true
	}
	if !identification.Accept(used.startedAt) {
		pool.put(used, 0)
		return &Error{Refused: true, Err: errors.Errorf("the process started at %d is not the expected one", used.startedAt)}
	}
	return nil
}

// readStart asks the process at the other end of a connection for its start. A process that does not tell has none.
func (pool *Pool) readStart(ctx context.Context, conn *conn, identification *Identification) error {
	ctx, cancel := context.WithTimeout(ctx, identifyTimeout.Duration())
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Now()) })
	defer func() {
		if stop() {
			return
		}
		_ = conn.SetDeadline(time.Time{}) // the connection is closed, as its process has not answered in time
	}()
	conn.recordRequest("")
	if err := identification.Request.Write(conn); err != nil {
		return errors.Wrap(err, "send")
	}
	response, _, err := pool.readAnswer(conn, identification.Request, identification.Matches)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode == http.StatusOK {
		if conn.startedAt, err = identification.Read(response); err != nil {
			return err
		}
	}
	if err := discard(response.Body, pool.options.StrayBytes); err != nil {
		return errors.Wrap(err, "read answer")
	}
	if response.Close || conn.reader.Buffered() > 0 {
		return errEnds
	}
	return errors.Wrap(ctx.Err(), "read answer")
}
