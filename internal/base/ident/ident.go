// Package ident defines the identifiers that daemons exchange.
package ident

import (
	"cmp"
	"fmt"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// DaemonID identifies the daemon of an entry VM. It is set in the daemon's settings and
// equals the VM's name in the published VM list.
type DaemonID string

// EngineID identifies a model engine in the published configuration.
type EngineID string

// Incarnation distinguishes the starts of a daemon. It is taken from the wall clock at
// the start, so that it increases with each start.
type Incarnation uint64

// Fence is a fencing number. An engine that checks fencing numbers refuses an order whose
// number is lower than the highest that it has received.
type Fence uint64

// BootID identifies one start of a model engine. When it changes, the engine's previous
// slots and runs no longer exist.
type BootID string

// StreamID identifies one attempt to run a request. It is never reused: the incarnation
// changes when the daemon restarts, and the sequence with each attempt.
type StreamID struct {
	_           struct{} `cbor:",toarray"`
	Daemon      DaemonID
	Incarnation Incarnation
	Sequence    uint64
}

// String formats the stream id as daemon-incarnation-sequence. Engines use this as the id
// of the run.
func (streamID StreamID) String() string {
	return fmt.Sprintf("%s-%d-%d", streamID.Daemon, streamID.Incarnation, streamID.Sequence)
}

// Compare compares stream ids by daemon, incarnation and sequence, for iteration in a
// fixed order.
func (streamID StreamID) Compare(other StreamID) int {
	return cmp.Or(
		cmp.Compare(streamID.Daemon, other.Daemon),
		cmp.Compare(streamID.Incarnation, other.Incarnation),
		cmp.Compare(streamID.Sequence, other.Sequence),
	)
}

// ParseStreamID parses the format of StreamID.String.
func ParseStreamID(text string) (StreamID, error) {
	prefix, sequenceText, hasSequence := cutLast(text, "-")
	name, incarnationText, hasIncarnation := cutLast(prefix, "-")
	if !hasSequence || !hasIncarnation || name == "" {
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

// cutLast splits text at the last separator.
func cutLast(text, separator string) (before, after string, found bool) {
	at := strings.LastIndex(text, separator)
	if at < 0 {
		return text, "", false
	}
	return text[:at], text[at+len(separator):], true
}

// Adapter identifies one version of a LoRA adapter.
type Adapter struct {
	_       struct{} `cbor:",toarray"`
	Name    string
	Version string
}

// String formats the adapter as name@version, as callers write it.
func (adapter Adapter) String() string {
	return adapter.Name + "@" + adapter.Version
}

// Compare compares adapters by name and version, for iteration in a fixed order.
func (adapter Adapter) Compare(other Adapter) int {
	return cmp.Or(cmp.Compare(adapter.Name, other.Name), cmp.Compare(adapter.Version, other.Version))
}

// ParseAdapter parses name@version.
func ParseAdapter(text string) (Adapter, error) {
	name, version, found := strings.Cut(text, "@")
	if !found || name == "" || version == "" || strings.Contains(version, "@") {
		return Adapter{}, errors.Errorf("model %q: want adapter@version", text)
	}
	return Adapter{Name: name, Version: version}, nil
}
