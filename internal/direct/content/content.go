// Package content computes identifiers of the content of requests, so that a request that is
// repeated under another id, perhaps at another daemon, is recognised. It does no I/O.
package content

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// ID identifies the content of a request. Two requests have the same ID if and only if all
// fields of Request are equal. A caller cannot construct a request whose ID collides with
// that of another caller's request.
type ID [16]byte

// Request is the content of a request. It leaves out the id, the deadline and whatever else
// differs between attempts.
type Request struct {
	Host    string
	Target  string // path and query
	Account string // name of the caller's account; empty where there are no accounts
	Body    []byte
}

// Of returns the ID of a request's content.
func Of(request Request) ID {
	hash := sha256.New()
	for _, part := range []string{request.Host, request.Target, request.Account} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		hash.Write(length[:]) // keeps adjacent fields apart: ("ab", "c") and ("a", "bc") must differ
		hash.Write([]byte(part))
	}
	hash.Write(request.Body)
	return ID(hash.Sum(nil)[:len(ID{})])
}

// String returns the ID in hexadecimal digits.
func (id ID) String() string {
	return hex.EncodeToString(id[:])
}
