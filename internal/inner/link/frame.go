package link

import (
	"bytes"
	"reflect"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/decide/message"
)

// frameKind is the number that precedes each frame on a connection. Numbers are never
// reused.
type frameKind uint8

const (
	headKind   frameKind = 1
	chunkKind  frameKind = 2
	creditKind frameKind = 3
	resetKind  frameKind = 4
	// firstMessageKind and the numbers after it are messages, in the order of messageTypes.
	firstMessageKind frameKind = 16
)

// headFrame starts the answer of a stream.
type headFrame struct {
	_           struct{} `cbor:",toarray"`
	Stream      ident.StreamID
	Status      int
	ContentType string
}

// chunkFrame is one part of the body of a stream's answer.
type chunkFrame struct {
	_       struct{} `cbor:",toarray"`
	Stream  ident.StreamID
	Index   uint64
	Payload []byte
}

// creditFrame allows the sender of a stream to send more bytes.
type creditFrame struct {
	_      struct{} `cbor:",toarray"`
	Stream ident.StreamID
	Bytes  int
}

// resetFrame reports to the sender of a stream that the receiver does not know the stream:
// it has ended there, or the receiver has restarted.
type resetFrame struct {
	_      struct{} `cbor:",toarray"`
	Stream ident.StreamID
}

// messageTypes defines the kind of each message: firstMessageKind plus its position. New
// types must be added at the end.
var messageTypes = []reflect.Type{
	reflect.TypeFor[message.Submit](),
	reflect.TypeFor[message.Dispatched](),
	reflect.TypeFor[message.Ended](),
	reflect.TypeFor[message.Cancel](),
	reflect.TypeFor[message.HomeBegin](),
	reflect.TypeFor[message.HomeDecision](),
	reflect.TypeFor[message.HomeFinish](),
	reflect.TypeFor[message.LoadRequest](),
	reflect.TypeFor[message.LoadGrant](),
	reflect.TypeFor[message.LoadDone](),
	reflect.TypeFor[message.LoadDecision](),
	reflect.TypeFor[message.Heartbeat](),
	reflect.TypeFor[message.EngineState](),
	reflect.TypeFor[message.ConfigOffer](),
	reflect.TypeFor[message.ConfigFetch](),
	reflect.TypeFor[message.ConfigPart](),
	reflect.TypeFor[message.HomeFinished](),
	reflect.TypeFor[message.HomeCopy](),
	reflect.TypeFor[message.HomeCopyAck](),
	reflect.TypeFor[message.HomeCopyDelete](),
	reflect.TypeFor[message.Update](),
	reflect.TypeFor[message.FullUpdateRequest](),
	reflect.TypeFor[message.HandoverRequest](),
	reflect.TypeFor[message.Handover](),
	reflect.TypeFor[message.RequestMoved](),
	reflect.TypeFor[message.HigherClaim](),
}

// messageKinds maps each message type to its kind.
var messageKinds = func() map[reflect.Type]frameKind {
	kinds := make(map[reflect.Type]frameKind, len(messageTypes))
	for i, messageType := range messageTypes {
		kinds[messageType] = firstMessageKind + frameKind(i)
	}
	return kinds
}()

// Limits of decoded frames, which protect the daemon from faulty peers.
const (
	maxArrayElements = 1 << 17
	maxMapPairs      = 1 << 12
	maxNesting       = 16
)

var (
	encoding = newEncoding()
	decoding = newDecoding()
)

func newEncoding() cbor.UserBufferEncMode {
	mode, err := cbor.EncOptions{}.UserBufferEncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func newDecoding() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxArrayElements: maxArrayElements,
		MaxMapPairs:      maxMapPairs,
		MaxNestedLevels:  maxNesting,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// appendFrame encodes a frame at the end of the buffer.
func appendFrame(buffer *bytes.Buffer, kind frameKind, content any) error {
	if err := encoding.MarshalToBuffer(kind, buffer); err != nil {
		return errors.Wrap(err, "encode frame kind")
	}
	return errors.Wrapf(encoding.MarshalToBuffer(content, buffer), "encode frame of kind %d", kind)
}

// appendMessage encodes a message at the end of the buffer.
func appendMessage(buffer *bytes.Buffer, sent message.Message) error {
	kind, known := messageKinds[reflect.TypeOf(sent)]
	if !known {
		return errors.Errorf("message type %T has no frame kind", sent)
	}
	return appendFrame(buffer, kind, sent)
}

// decodeFrames passes each frame of a batch to the handler.
func decodeFrames(from ident.DaemonID, batch []byte, handler Handler) error {
	for len(batch) > 0 {
		var kind frameKind
		rest, err := decoding.UnmarshalFirst(batch, &kind)
		if err != nil {
			return errors.Wrap(err, "decode frame kind")
		}
		batch, err = decodeFrame(from, kind, rest, handler)
		if err != nil {
			return errors.Wrapf(err, "decode frame of kind %d", kind)
		}
	}
	return nil
}

// decodeFrame passes the first frame of the content to the handler and returns the rest.
func decodeFrame(from ident.DaemonID, kind frameKind, content []byte, handler Handler) ([]byte, error) {
	switch kind {
	case headKind:
		var head headFrame
		rest, err := decoding.UnmarshalFirst(content, &head)
		if err == nil {
			handler.Head(from, head.Stream, head.Status, head.ContentType)
		}
		return rest, err
	case chunkKind:
		var chunk chunkFrame
		rest, err := decoding.UnmarshalFirst(content, &chunk)
		if err == nil {
			handler.Chunk(from, chunk.Stream, chunk.Index, chunk.Payload)
		}
		return rest, err
	case creditKind:
		var credit creditFrame
		rest, err := decoding.UnmarshalFirst(content, &credit)
		if err == nil {
			handler.Credit(from, credit.Stream, credit.Bytes)
		}
		return rest, err
	case resetKind:
		var reset resetFrame
		rest, err := decoding.UnmarshalFirst(content, &reset)
		if err == nil {
			handler.Reset(from, reset.Stream)
		}
		return rest, err
	}
	return decodeMessage(from, kind, content, handler)
}

func decodeMessage(from ident.DaemonID, kind frameKind, content []byte, handler Handler) ([]byte, error) {
	index := int(kind) - int(firstMessageKind)
	if index < 0 || index >= len(messageTypes) {
		return nil, errors.New("unknown kind")
	}
	value := reflect.New(messageTypes[index])
	rest, err := decoding.UnmarshalFirst(content, value.Interface())
	if err == nil {
		handler.Message(from, value.Elem().Interface().(message.Message))
	}
	return rest, err
}
