package upstream

import (
	"io"

	"github.com/pkg/errors"

	"teaselmoor/internal/direct/answerhead"
)

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
	return io.EOF
}
