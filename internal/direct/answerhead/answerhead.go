// Package answerhead checks the head of an answer before anything of it is used or passed on. net/http reads heads leniently: it accepts
// any three characters that are a number as a status, and names of fields that no field can have. RFC 9110 and RFC 9112 say what is an
// answer. The package does no I/O.
package answerhead

import (
	"net/http"
	"strings"

	"github.com/pkg/errors"
)

// Errors of heads that are no head of an answer.
var (
	ErrStatus  = errors.New("the status of the answer is none of HTTP")
	ErrReason  = errors.New("the reason of the answer's status has a control character")
	ErrVersion = errors.New("the answer is not of HTTP/1")
	ErrField   = errors.New("the name of a field of the answer is none of HTTP")
)

// Check returns an error if a response has a head that is no head of an answer.
func Check(response *http.Response) error {
	switch {
	case response.ProtoMajor != 1:
		return errors.Wrapf(ErrVersion, "%q", response.Proto)
	case response.StatusCode < 100 || response.StatusCode > 599:
		return errors.Wrapf(ErrStatus, "%q", response.Status)
	case strings.ContainsFunc(response.Status, isControl):
		return errors.Wrapf(ErrReason, "%q", response.Status)
	}
	return CheckFields(response.Header)
}

// CheckFields returns an error if a field of a head, or of a trailer, has a name that no field can have.
func CheckFields(fields http.Header) error {
	for name := range fields {
		if !isToken(name) {
			return errors.Wrapf(ErrField, "%q", name)
		}
	}
	return nil
}

// isControl reports whether a character may not be part of a reason.
func isControl(character rune) bool {
	return character < ' ' && character != '\t' || character == 0x7f
}

// tokenMarks are the characters of a token that are neither letters nor digits.
const tokenMarks = "!#$%&'*+-.^_`|~"

// isToken reports whether a text is a token, as each name of a field is.
func isToken(text string) bool {
	for i := range len(text) {
		character := text[i]
		letter := character >= 'a' && character <= 'z' || character >= 'A' && character <= 'Z'
		digit := character >= '0' && character <= '9'
		if !letter && !digit && strings.IndexByte(tokenMarks, character) < 0 {
			return false
		}
	}
	return text != ""
}
