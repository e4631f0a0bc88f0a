// Package content names what callers ask for, so that a request that comes again under
// another id, perhaps at another daemon, is recognised. It does no I/O.
package content

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// ID names the content of a request. Two requests have the same one if and only if
// everything in Request is the same; a caller cannot make one up that collides with
// another caller's.
type ID [16]byte

// Request is what makes up the content of a request. Its id, its deadline and what else
// differs from one attempt to the next is left out.
type Request struct {
	Host    string
	Target  string // path and query
	Account string // the caller's; empty where there are no accounts
	Body    []byte
}

// Of returns the name of a request's content.
func Of(request Request) ID {
	hash := sha256.New()
	for _, part := range []string{request.Host, request.Target, request.Account} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		hash.Write(length[:]) // two parts must not run into each other
		hash.Write([]byte(part))
	}
	hash.Write(request.Body)
	return ID(hash.Sum(nil)[:len(ID{})])
}

// String returns the name in hexadecimal digits.
func (id ID) String() string {
	return hex.EncodeToString(id[:])
}
