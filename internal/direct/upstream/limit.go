package upstream

import (
	"io"
	"net/http"

	"github.com/pkg/errors"

	"teaselmoor/internal/direct/answerhead"
)

// Errors of responses that go on for too long.
var (
	errHeadTooLong = errors.New("the head of the response is too long")
	errBodyTooLong = errors.New("the body of a response that is skipped is too long")
)

// headReader reads from a connection, and fails when a head has more bytes than it may have.
type headReader struct {
	io.Reader
	inHead bool
	left   int // bytes that may still come, while inHead is set
}

// begin bounds the bytes that are read until end is called.
func (headReader *headReader) begin(limit int) {
	headReader.inHead, headReader.left = true, limit
}

func (headReader *headReader) end() {
	headReader.inHead = false
}

// Read implements io.Reader.
func (headReader *headReader) Read(buffer []byte) (int, error) {
	if !headReader.inHead {
		return headReader.Reader.Read(buffer)
	}
	if headReader.left <= 0 {
		return 0, errHeadTooLong
	}
	size, err := headReader.Reader.Read(buffer[:min(len(buffer), headReader.left)])
	headReader.left -= size
	return size, err
}

// readResponse reads the head of a response to a request, which begins after any bytes that were read before.
func (conn *conn) readResponse(request *http.Request) (*http.Response, error) {
	defer conn.heads.end()
	response, err := http.ReadResponse(conn.reader, request)
	if err != nil {
		return nil, err
	}
	return response, answerhead.Check(response)
}

// discard reads a body to its end, if that comes within a number of bytes.
func discard(body io.Reader, limit int64) error {
	size, err := io.Copy(io.Discard, io.LimitReader(body, limit+1))
	if err == nil && size > limit {
		return errBodyTooLong
	}
	return err
}
