// Package content computes identifiers of the content of requests, so that a request that is
// repeated under another id, perhaps at another daemon, is recognised. It does no I/O.
package content

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
)

// ID identifies the content of a request. Two requests have the same ID if and only if all
// fields of Request are equal. A caller cannot construct a request whose ID collides with
// that of another caller's request.
type ID [16]byte

// Request is the content of a request. It leaves out the id, the deadline and whatever else
// differs between attempts.
type Request struct {
	Host    string
	Target  string   // path and query
	Account string   // name of the caller's account; empty where there are no accounts
	Body    [][]byte // in pieces; where it is divided makes no difference
}

// PartID identifies a part of a prompt. The parts of an account are its own: another account's part with the same
// name is another part. No ID of a part equals that of a request's content.
func PartID(account, name string) ID {
	hash := sha256.New()
	hash.Write(partPrefix)
	writeField(hash, account)
	hash.Write([]byte(name))
	return ID(hash.Sum(nil)[:len(ID{})])
}

// partPrefix cannot begin the hashed form of a Request, as no host is that long.
var partPrefix = bytes.Repeat([]byte{0xff}, 8)

// Of returns the ID of a request's content.
func Of(request Request) ID {
	hash := sha256.New()
	for _, part := range []string{request.Host, request.Target, request.Account} {
		writeField(hash, part)
	}
	for _, piece := range request.Body {
		hash.Write(piece)
	}
	return ID(hash.Sum(nil)[:len(ID{})])
}

// writeField writes a field with its length, which keeps adjacent fields apart: ("ab", "c") and ("a", "bc") must
// differ.
func writeField(to hash.Hash, field string) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(field)))
	to.Write(length[:])
	to.Write([]byte(field))
}

// String returns the ID in hexadecimal digits.
func (id ID) String() string {
	return hex.EncodeToString(id[:])
}
