package gateway

import (
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"

	"teaselmoor/internal/direct/catalog"
	"teaselmoor/internal/direct/ending"
	"teaselmoor/internal/direct/footprint"
	"teaselmoor/internal/direct/upstream"
)

// unreadBodyTimeout is how long a refusal may wait for the rest of a body that has not been read. The HTTP server reads it before it answers, so
// that the connection can be kept, and closes the connection if it does not come.
const unreadBodyTimeout = 50 * time.Millisecond

// boundUnreadBody bounds the time that the HTTP server waits for the body of a request that is refused before its body has been read.
func boundUnreadBody(job *job) {
	conn := connOf(job.incoming)
	if conn == nil || job.incoming.Body == http.NoBody || job.progress.body > 0 {
		return
	}
	_ = conn.SetReadDeadline(time.Now().Add(unreadBodyTimeout)) // fails on a closed connection, as reading does
}

const (
	// firstPiece is the size in bytes of the first piece of a body. It belongs to the cost of a connection.
	firstPiece = 4 << 10
	// maxPiece is the size of the largest pieces.
	maxPiece = 64 << 10
)

// body is what has come of the body of a request, in pieces, so that it is never copied to grow.
type body struct {
	pieces  [][]byte
	size    int64
	counted int64 // bytes of the pieces that count in the account of what callers make the daemon hold
}

// room returns the number of bytes that the last piece has room for.
func (body *body) room() int {
	if len(body.pieces) == 0 {
		return 0
	}
	last := body.pieces[len(body.pieces)-1]
	return cap(last) - len(last)
}

// addPiece adds an empty piece. Of the body, at most the given number of bytes are still to come.
func (body *body) addPiece(hold *footprint.Hold, left, largest int64) bool {
	size := min(left, maxPiece, max(firstPiece, body.size))
	if len(body.pieces) > 0 {
		if !hold.GrowBody(size, body.size, largest) {
			return false
		}
		body.counted += size
	}
	body.pieces = append(body.pieces, make([]byte, 0, size))
	return true
}

// read reads once into the last piece.
func (body *body) read(from io.Reader) (int, error) {
	last := &body.pieces[len(body.pieces)-1]
	size, err := from.Read((*last)[len(*last):cap(*last)])
	*last = (*last)[:len(*last)+size]
	body.size += int64(size)
	return size, err
}

// releaseBody releases the body of a request, which will not be sent any more.
func (job *job) releaseBody() {
	if job.hold != nil {
		job.hold.Release(job.body.counted)
	}
	job.body = body{}
}

// releaseSentBody releases the body of a request whose answer has begun, if it has been written and will not be sent again.
func (job *job) releaseSentBody(answer *upstream.Answer) {
	if answer.IsWritten() && !job.mayRunAgain() {
		job.releaseBody()
	}
}

// errNoRoom is the error of a body for which there is no room in memory.
var errNoRoom = errors.New("callers make the daemon hold as much as it can")

// readBody reads the body of a request, up to the limit of its size and until the request's deadline. If that fails, it returns the
// status and reason to answer with; otherwise the status is 0.
func (gateway *Gateway) readBody(writer http.ResponseWriter, job *job, config *catalog.Catalog) (int, ending.Reason) {
	if job.incoming.Body == http.NoBody {
		return 0, ""
	}
	limit := gateway.options.BodyBytes
	if config.Limits.BodyBytes > 0 {
		limit = config.Limits.BodyBytes
	}
	if job.incoming.ContentLength > limit {
		writer.Header().Set("Connection", "close") // the body may come all the same
		return http.StatusRequestEntityTooLarge, ending.TooLarge
	}
	conn := connOf(job.incoming)
	if conn != nil {
		_ = conn.SetReadDeadline(gateway.bodyDeadline(job)) // fails on a closed connection, as reading does
	}
	err := gateway.receive(writer, job, limit)
	if status, reason := bodyFailure(err); status != 0 {
		job.releaseBody()
		if reason != ending.BadRequest {
			writer.Header().Set("Connection", "close") // the rest of the body may still come
		}
		return status, reason
	}
	clearReadDeadline(conn)
	return 0, ""
}

// bodyFailure returns the status and reason to answer with if a body could not be read.
func bodyFailure(err error) (int, ending.Reason) {
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return 0, ""
	case errors.As(err, &tooLarge):
		return http.StatusRequestEntityTooLarge, ending.TooLarge
	case errors.Is(err, errNoRoom):
		return http.StatusServiceUnavailable, ending.NoRoom
	case errors.Is(err, os.ErrDeadlineExceeded):
		return http.StatusRequestTimeout, ending.BodyTimeout
	}
	return http.StatusBadRequest, ending.BadRequest
}

// clearReadDeadline lets a connection be read from without a time limit; a later failure of it shows when it is read.
func clearReadDeadline(conn net.Conn) {
	if conn != nil {
		_ = conn.SetReadDeadline(time.Time{})
	}
}

// receive reads the body of a request. While it comes in, it may have to give way to others.
func (gateway *Gateway) receive(writer http.ResponseWriter, job *job, limit int64) error {
	if _, ok := job.hold.Enter(footprint.Receiving); !ok {
		return errNoRoom
	}
	err := job.receive(http.MaxBytesReader(writer, job.incoming.Body, limit), limit)
	if _, ok := job.hold.Enter(footprint.Working); !ok {
		return errNoRoom // also if the body has come whole meanwhile, as its connection is not read from any more
	}
	return err
}

// receive reads a body to its end.
func (job *job) receive(from io.Reader, limit int64) error {
	expected := limit + 1
	if job.incoming.ContentLength >= 0 {
		expected = job.incoming.ContentLength
	}
	for {
		if job.body.room() == 0 && !job.body.addPiece(job.hold, max(1, expected-job.body.size), limit) {
			return errNoRoom
		}
		size, err := job.body.read(from)
		job.hold.Progress(size)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
