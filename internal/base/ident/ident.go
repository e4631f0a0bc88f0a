// Package ident holds the identifiers that daemons exchange.
package ident

import (
	"cmp"
	"fmt"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// DaemonID names an entry VM's daemon; it comes from the daemon's settings and
// equals the VM's name in the published VM list.
type DaemonID string

// EngineID names a model engine, as published in the configuration.
type EngineID string

// Incarnation tells one life of a daemon from the next. It rises with every
// start, because it is taken from the wall clock at start.
type Incarnation uint64

// Fence is a fencing number: an engine that checks it refuses an order that
// carries a lower one than it has seen.
type Fence uint64

// BootID names one life of a model engine; a new one voids slots and runs.
type BootID string

// StreamID names one attempt at running one request. Entries never reuse one:
// the incarnation differs after a restart, the sequence within a life.
type StreamID struct {
	_           struct{} `cbor:",toarray"`
	Daemon      DaemonID
	Incarnation Incarnation
	Sequence    uint64
}

// String formats the stream id the way engines see it as a run id.
func (streamID StreamID) String() string {
	return fmt.Sprintf("%s-%d-%d", streamID.Daemon, streamID.Incarnation, streamID.Sequence)
}

// Compare orders stream ids, for iteration in a fixed order.
func (streamID StreamID) Compare(other StreamID) int {
	return cmp.Or(
		cmp.Compare(streamID.Daemon, other.Daemon),
		cmp.Compare(streamID.Incarnation, other.Incarnation),
		cmp.Compare(streamID.Sequence, other.Sequence),
	)
}

// ParseStreamID reads the form that String writes.
func ParseStreamID(text string) (StreamID, error) {
	rest, sequenceText, found := cutLast(text, "-")
	name, incarnationText, foundToo := cutLast(rest, "-")
	if !found || !foundToo || name == "" {
		return StreamID{}, errors.Errorf("stream id %q: want daemon-incarnation-sequence", text)
	}
	sequence, err := strconv.ParseUint(sequenceText, 10, 64)
	if err != nil {
		return StreamID{}, errors.Wrapf(err, "stream id %q: sequence", text)
	}
	incarnation, err := strconv.ParseUint(incarnationText, 10, 64)
	if err != nil {
		return StreamID{}, errors.Wrapf(err, "stream id %q: incarnation", text)
	}
	return StreamID{Daemon: DaemonID(name), Incarnation: Incarnation(incarnation), Sequence: sequence}, nil
}

func cutLast(text, separator string) (before, after string, found bool) {
	at := strings.LastIndex(text, separator)
	if at < 0 {
		return text, "", false
	}
	return text[:at], text[at+len(separator):], true
}

// Adapter addresses one version of one LoRA adapter.
type Adapter struct {
	_       struct{} `cbor:",toarray"`
	Name    string
	Version string
}

// String formats the address as callers write it: name@version.
func (adapter Adapter) String() string {
	return adapter.Name + "@" + adapter.Version
}

// Compare orders adapters, for iteration in a fixed order.
func (adapter Adapter) Compare(other Adapter) int {
	return cmp.Or(cmp.Compare(adapter.Name, other.Name), cmp.Compare(adapter.Version, other.Version))
}

// ParseAdapter reads name@version.
func ParseAdapter(text string) (Adapter, error) {
	name, version, found := strings.Cut(text, "@")
	if !found || name == "" || version == "" || strings.Contains(version, "@") {
		return Adapter{}, errors.Errorf("model %q: want adapter@version", text)
	}
	return Adapter{Name: name, Version: version}, nil
}
