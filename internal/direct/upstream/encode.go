package upstream

import (
	"bytes"

	"github.com/pkg/errors"
)

// encode returns a request as it is written: one piece if it has up to a number of bytes, or else its head and the pieces of its body.
func (call Call) encode(inline int) ([][]byte, error) {
	if call.bodySize() == 0 {
		var whole bytes.Buffer
		err := call.Request.Write(&whole)
		return [][]byte{whole.Bytes()}, err
	}
	request := *call.Request
	body := &headOnly{}
	request.Body = body
	var head bytes.Buffer
	if err := request.Write(&head); !body.begun {
		return nil, errors.Wrap(err, "encode head")
	}
	if int64(head.Len())+request.ContentLength > int64(inline) {
		return append([][]byte{head.Bytes()}, call.Body...), nil
	}
	for _, piece := range call.Body {
		head.Write(piece)
	}
	return [][]byte{head.Bytes()}, nil
}

// bodySize returns the number of bytes of the body. A body in pieces may turn out to be empty: net/http would announce chunks for one whose
// length is 0 and write none, so that the server takes the next request for them.
func (call Call) bodySize() int {
	size := 0
	for _, piece := range call.Body {
		size += len(piece)
	}
	return size
}

// errHeadOnly ends the encoding of a request after its head.
var errHeadOnly = errors.New("only the head is encoded")

// headOnly is a body that is not encoded.
type headOnly struct {
	begun bool // the head has been encoded
}

// Read implements io.Reader.
func (headOnly *headOnly) Read([]byte) (int, error) {
	headOnly.begun = true
	return 0, errHeadOnly
}

// Close implements io.Closer.
func (*headOnly) Close() error { return nil }

// pieceBytes is the size of the pieces in which a long request is written.
const pieceBytes = 64 << 10

// writePieces writes a long request in pieces. A single call would go on after the connection was reset
// for as long as the server reads faster than it writes.
func (conn *conn) writePieces(encoded [][]byte) error {
	for _, piece := range encoded {
		for len(piece) > 0 {
			written, err := conn.Write(piece[:min(pieceBytes, len(piece))])
			if err != nil {
				return err
			}
			piece = piece[written:]
		}
	}
	return nil
}
