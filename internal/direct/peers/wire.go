package peers

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/outage"
	"teaselmoor/internal/direct/platformapi"
)

// The wire types except wireMessage and wireWarnings are encoded as arrays, so that field names
// take no space, and contain each server and model name only once. The fields of an array keep
// their order and number: daemons of two versions are connected with each other during an
// upgrade, and an array is decoded only if it has the expected length. New fields are therefore
// added to types that are encoded as maps, such as wireMessage.
type (
	wireMessage struct {
		Update *wireUpdate         `cbor:",omitempty"`
		Digest *wireDelta          `cbor:",omitempty"`
		Want   *wireAdapterRequest `cbor:",omitempty"`
		Pull   *Pull               `cbor:",omitempty"`
		Items  *StoreItems         `cbor:",omitempty"`
		// Era is the era of the update's revision. It is not part of wireUpdate because
		// daemons of other versions expect that array without it.
		Era int64 `cbor:",omitempty"`
		// Warnings is ignored by daemons that do not support it.
		Warnings *wireWarnings `cbor:",omitempty"`
		// Turn, TurnAnswer and TurnEnd are ignored by daemons without prefill admission control.
		Turn       *wirePromptRequest    `cbor:",omitempty"`
		TurnAnswer *wirePromptAnswer     `cbor:",omitempty"`
		TurnEnd    *wirePromptWithdrawal `cbor:",omitempty"`
		// Streams is ignored by daemons that do not support it.
		Streams []wireStreamReport `cbor:",omitempty"`
		// Origins, OriginQuery and OriginAnswer are ignored by daemons that do not support them.
		Origins      []wireOriginBatch `cbor:",omitempty"`
		OriginQuery  *wireOriginQuery  `cbor:",omitempty"`
		OriginAnswer *wireOriginAnswer `cbor:",omitempty"`
		// TakenUp is ignored by daemons that do not support it.
		TakenUp *wireTakenUp `cbor:",omitempty"`
		// Calls is part of an update. It is ignored by daemons that do not support it.
		Calls *wireStoreContact `cbor:",omitempty"`
	}
	wireStoreContact struct {
		_                    struct{} `cbor:",toarray"`
		Away, Answered, Back int64
	}
	wireAdapterRequest struct {
		_                    struct{} `cbor:",toarray"`
		Server, Model, Named string
		Version, Rank        int
		Left                 int64
		Absent               bool
	}
)

// Encode encodes a message.
func Encode(message Message) ([]byte, error) {
	wire := wireMessage{Pull: message.Pull, Items: message.Items, Warnings: encodeWarnings(message.Warnings), Streams: encodeStreams(message.Streams), TakenUp: encodeTakenUp(message.TakenUp)}
	if message.Update != nil {
		wire.Update = encodeUpdate(message.Update)
		wire.Era = message.Update.Era
		if contact := message.Update.Store; contact != nil {
			wire.Calls = &wireStoreContact{Away: int64(contact.Away), Answered: int64(contact.Answered), Back: int64(contact.Back)}
		}
	}
	if message.Delta != nil {
		wire.Digest = encodeDelta(message.Delta)
	}
	if request := message.AdapterRequest; request != nil {
		wire.Want = &wireAdapterRequest{
			Server: request.Server, Model: request.Adapter.Model, Named: request.Adapter.Name, Version: request.Version,
			Rank: request.Rank, Left: int64(request.Left), Absent: request.Absent,
		}
	}
	wire.encodeTurns(message)
	wire.encodeOrigins(message)
	encoded, err := cbor.Marshal(wire)
	return encoded, errors.Wrap(err, "encode message")
}

// Decode decodes a message.
func Decode(encoded []byte) (Message, error) {
	var wire wireMessage
	if err := cbor.Unmarshal(encoded, &wire); err != nil {
		return Message{}, errors.Wrap(err, "decode message")
	}
	message := Message{Pull: wire.Pull, Items: wire.Items, Warnings: decodeWarnings(wire.Warnings), Streams: decodeStreams(wire.Streams), TakenUp: decodeTakenUp(wire.TakenUp)}
	if wire.Update != nil {
		message.Update = decodeUpdate(wire.Update)
		message.Update.Era = wire.Era
		if calls := wire.Calls; calls != nil {
			message.Update.Store = &outage.Contact{Away: clock.Millis(calls.Away), Answered: clock.Millis(calls.Answered), Back: clock.Millis(calls.Back)}
		}
	}
	if wire.Digest != nil {
		message.Delta = decodeDelta(wire.Digest)
	}
	if request := wire.Want; request != nil {
		message.AdapterRequest = &AdapterRequest{
			Server: request.Server, Adapter: platformapi.Adapter{Model: request.Model, Name: request.Named}, Version: request.Version,
			Rank: request.Rank, Left: clock.Millis(request.Left), Absent: request.Absent,
		}
	}
	message.decodeTurns(wire)
	message.decodeOrigins(wire)
	return message, nil
}
