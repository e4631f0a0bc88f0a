package answerhead_test

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"teaselmoor/internal/direct/answerhead"
)

// TestHeadsThatAreNoAnswerAreRefused guards against statuses, reasons and names of fields that net/http accepts and callers would get.
func TestHeadsThatAreNoAnswerAreRefused(t *testing.T) {
	for head, refused := range map[string]error{
		"HTTP/1.1 200 OK\r\nX-y!#$%&'*+.^_`|~9: 1\r\n": nil,
		"HTTP/1.0 599 \r\n":                            nil,
		"HTTP/1.1 200 \t\xe4 ok\r\n":                   nil,
		"HTTP/1.1 100 Continue\r\n":                    nil,
		"HTTP/1.1 000 OK\r\n":                          answerhead.ErrStatus,
		"HTTP/1.1 099 OK\r\n":                          answerhead.ErrStatus,
		"HTTP/1.1 +20 OK\r\n":                          answerhead.ErrStatus,
		"HTTP/1.1 600 OK\r\n":                          answerhead.ErrStatus,
		"HTTP/1.1 999 OK\r\n":                          answerhead.ErrStatus,
		"HTTP/1.1 200 O\x01K\r\n":                      answerhead.ErrReason,
		"HTTP/1.1 200 O\x7fK\r\n":                      answerhead.ErrReason,
		"HTTP/3.0 200 OK\r\n":                          answerhead.ErrVersion,
		"HTTP/1.1 200 OK\r\nX y: 1\r\n":                answerhead.ErrField,
		"HTTP/1.1 200 OK\r\nContent-Length : 1\r\n":    answerhead.ErrField,
	} {
		response, err := http.ReadResponse(bufio.NewReader(strings.NewReader(head+"\r\n")), nil)
		require.NoError(t, err, "%q: net/http reads it", head)
		require.ErrorIs(t, answerhead.Check(response), refused, "%q", head)
	}
	require.ErrorIs(t, answerhead.CheckFields(http.Header{"": nil}), answerhead.ErrField)
	require.ErrorIs(t, answerhead.CheckFields(http.Header{"X\x00": nil}), answerhead.ErrField)
}
