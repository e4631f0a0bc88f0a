package peers

import "teaselmoor/internal/direct/takeup"

// TakenUp tells that a caller has taken a stream up with a request.
type TakenUp struct {
	Request takeup.Request
	Hops    int // daemons that have relayed it
}

type wireTakenUp struct {
	_                       struct{} `cbor:",toarray"`
	Content, First, Attempt uint64
	After                   int64
	Hops                    int
}

func encodeTakenUp(message *TakenUp) *wireTakenUp {
	if message == nil {
		return nil
	}
	request := message.Request
	return &wireTakenUp{Content: uint64(request.Content), First: uint64(request.First), Attempt: uint64(request.Attempt), After: int64(request.After), Hops: message.Hops}
}

func decodeTakenUp(wire *wireTakenUp) *TakenUp {
	if wire == nil {
		return nil
	}
	return &TakenUp{Hops: wire.Hops, Request: takeup.Request{
		Content: takeup.Hash(wire.Content), First: takeup.Hash(wire.First), Attempt: takeup.Hash(wire.Attempt), After: takeup.Event(wire.After),
	}}
}
