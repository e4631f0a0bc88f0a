package peers

import (
	"encoding/binary"

	"teaselmoor/internal/direct/software"
)

// OriginQuery asks a peer what began a stream. A hub that does not know asks the other hubs, once.
type OriginQuery struct {
	ID      uint64 // unique among the queries of the sender
	Key     software.Key
	Service string // at which the stream is to go on
	Relayed bool   // the sender is a hub that was asked itself
}

// OriginAnswer answers an OriginQuery.
type OriginAnswer struct {
	ID       uint64
	Found    bool // the stream is recorded with Origin
	Inferred bool // the stream is not recorded, but the service has had no version but that of Origin; several ones if Origin is zero
	Origin   software.Origin
}

type (
	wireOrigin struct {
		_               struct{} `cbor:",toarray"`
		Version, Server string
		Born            int64
		Unnamed         bool
	}
	wireOriginBatch struct {
		_      struct{} `cbor:",toarray"`
		Origin wireOrigin
		Keys   []byte // 8 bytes each
	}
	wireOriginQuery struct {
		_       struct{} `cbor:",toarray"`
		ID, Key uint64
		Service string
		Relayed bool
	}
	wireOriginAnswer struct {
		_               struct{} `cbor:",toarray"`
		ID              uint64
		Found, Inferred bool
		Origin          wireOrigin
	}
)

// keyBytes is the size of a key on the wire.
const keyBytes = 8

func encodeOrigin(origin software.Origin) wireOrigin {
	return wireOrigin{Version: origin.Version, Server: origin.Server, Born: origin.StartedAt, Unnamed: origin.Unnamed}
}

func (wireOrigin wireOrigin) decode() software.Origin {
	return software.Origin{Version: wireOrigin.Version, Server: wireOrigin.Server, StartedAt: wireOrigin.Born, Unnamed: wireOrigin.Unnamed}
}

// encodeOrigins sets the fields of a message on the origins of streams.
func (wireMessage *wireMessage) encodeOrigins(message Message) {
	for _, batch := range message.Origins {
		keys := make([]byte, 0, keyBytes*len(batch.Keys))
		for _, key := range batch.Keys {
			keys = binary.BigEndian.AppendUint64(keys, uint64(key))
		}
		wireMessage.Origins = append(wireMessage.Origins, wireOriginBatch{Origin: encodeOrigin(batch.Origin), Keys: keys})
	}
	if query := message.OriginQuery; query != nil {
		wireMessage.OriginQuery = &wireOriginQuery{ID: query.ID, Key: uint64(query.Key), Service: query.Service, Relayed: query.Relayed}
	}
	if answer := message.OriginAnswer; answer != nil {
		wireMessage.OriginAnswer = &wireOriginAnswer{ID: answer.ID, Found: answer.Found, Inferred: answer.Inferred, Origin: encodeOrigin(answer.Origin)}
	}
}

// decodeOrigins sets the fields that encodeOrigins has encoded. Bytes that are no whole key are ignored.
func (message *Message) decodeOrigins(wire wireMessage) {
	for _, each := range wire.Origins {
		batch := software.Batch{Origin: each.Origin.decode()}
		for keys := each.Keys; len(keys) >= keyBytes; keys = keys[keyBytes:] {
			batch.Keys = append(batch.Keys, software.Key(binary.BigEndian.Uint64(keys)))
		}
		message.Origins = append(message.Origins, batch)
	}
	if query := wire.OriginQuery; query != nil {
		message.OriginQuery = &OriginQuery{ID: query.ID, Key: software.Key(query.Key), Service: query.Service, Relayed: query.Relayed}
	}
	if answer := wire.OriginAnswer; answer != nil {
		message.OriginAnswer = &OriginAnswer{ID: answer.ID, Found: answer.Found, Inferred: answer.Inferred, Origin: answer.Origin.decode()}
	}
}
