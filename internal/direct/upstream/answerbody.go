package upstream

import (
	"io"
	"net/http"

	"github.com/pkg/errors"

	"teaselmoor/internal/direct/answerhead"
	"teaselmoor/internal/direct/socket"
)

// errReset is the error of a body that only the end of its connection ends, if that was no plain end.
var errReset = errors.New("the connection was reset before the request was written or the response was whole")

// isUnframed reports whether only the end of the connection ends the body of a response.
func isUnframed(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0 && response.Body != http.NoBody
}

// answerBody is the body of a response. Its end is reported only if nothing else says that the response is not whole.
type answerBody struct {
	io.ReadCloser
	answer *Answer
	ended  error // what is returned at the end; nil: it was not reached
}

// Read implements io.Reader.
func (answerBody *answerBody) Read(buffer []byte) (int, error) {
	if answerBody.ended != nil {
		return 0, answerBody.ended
	}
	size, err := answerBody.ReadCloser.Read(buffer)
	if errors.Is(err, io.EOF) {
		err = answerBody.checkEnd()
		answerBody.ended = err
	}
	return size, err
}

// checkEnd returns io.EOF if the response is whole.
func (answerBody *answerBody) checkEnd() error {
	if err := answerhead.CheckFields(answerBody.answer.Trailer); err != nil {
		return errors.Wrap(err, "read trailer")
	}
	if isUnframed(answerBody.answer.Response) {
		return answerBody.answer.checkConnectionEnd()
	}
	return io.EOF
}

// checkConnectionEnd returns io.EOF if the connection has ended plainly. A reset is reported once, to the reader or to the writer of the
// connection, so that the reader may find a plain end after one: what the writer and the socket tell counts as well. A request that is
// still being written is waited for, until the context ends.
func (answer *Answer) checkConnectionEnd() error {
	if answer.written != nil {
		err := <-answer.written
		answer.written <- err // for writePending
		if err != nil {
			return errors.Wrapf(errReset, "%s", err)
		}
	}
	if socket.Reset(answer.conn.Conn) {
		return errReset
	}
	return io.EOF
}
