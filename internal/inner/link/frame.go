package link

import (
	"bytes"
	"reflect"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/decide/message"
)

// frameKind precedes every frame on a connection. Numbers are never reused.
type frameKind uint8

const (
	headKind   frameKind = 1
	chunkKind  frameKind = 2
	creditKind frameKind = 3
	resetKind  frameKind = 4
	// Kinds from firstMessage on are messages, in the order of messageTypes.
	firstMessage frameKind = 16
)

// headFrame opens the answer of a stream.
type headFrame struct {
	_           struct{} `cbor:",toarray"`
	Stream      ident.StreamID
	Status      int
	ContentType string
}

// chunkFrame is one piece of a stream's answer.
type chunkFrame struct {
	_       struct{} `cbor:",toarray"`
	Stream  ident.StreamID
	Index   uint64
	Payload []byte
}

// creditFrame lets the sender of a stream send more bytes.
type creditFrame struct {
	_      struct{} `cbor:",toarray"`
	Stream ident.StreamID
	Bytes  int
}

// resetFrame tells the sender of a stream that its receiver knows nothing of
// it: the stream has ended there, or the receiver has restarted since.
type resetFrame struct {
	_      struct{} `cbor:",toarray"`
	Stream ident.StreamID
}

// messageTypes gives each message its number: the position from firstMessage.
// New types go to the end.
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

var messageKinds = func() map[reflect.Type]frameKind {
	kinds := make(map[reflect.Type]frameKind, len(messageTypes))
	for i, messageType := range messageTypes {
		kinds[messageType] = firstMessage + frameKind(i)
	}
	return kinds
}()

// Limits on what a peer may make this daemon decode.
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

// appendFrame encodes a frame behind what the buffer holds.
func appendFrame(buffer *bytes.Buffer, kind frameKind, content any) error {
	if err := encoding.MarshalToBuffer(kind, buffer); err != nil {
		return errors.Wrap(err, "encode frame kind")
	}
	return errors.Wrapf(encoding.MarshalToBuffer(content, buffer), "encode frame of kind %d", kind)
}

// appendMessage encodes a message behind what the buffer holds.
func appendMessage(buffer *bytes.Buffer, sent message.Message) error {
	kind, known := messageKinds[reflect.TypeOf(sent)]
	if !known {
		return errors.Errorf("message type %T has no number", sent)
	}
	return appendFrame(buffer, kind, sent)
}

// decodeFrames hands every frame of a batch to the handler.
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
	at := int(kind) - int(firstMessage)
	if at < 0 || at >= len(messageTypes) {
		return nil, errors.New("unknown kind")
	}
	value := reflect.New(messageTypes[at])
	rest, err := decoding.UnmarshalFirst(content, value.Interface())
	if err == nil {
		handler.Message(from, value.Elem().Interface().(message.Message))
	}
	return rest, err
}
