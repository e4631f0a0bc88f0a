package relay

import (
	"context"
	"sync"

	"teaselmoor/internal/decide/effect"
	"teaselmoor/internal/decide/message"
)

// Item is a part of an answer. Either Status and ContentType are set, or Payload, or Final.
type Item struct {
	// Status and ContentType are the head of the answer.
	Status      int
	ContentType string
	// Payload is one chunk of the answer.
	Payload []byte
	// Final ends the answer.
	Final *effect.Answer
}

// Inbox buffers the answer to one request between its arrival at the entry and its reading
// by the HTTP handler that serves the caller. Its size is bounded by the sender's window.
// It is safe for concurrent use.
type Inbox struct {
	mutex    sync.Mutex // guards all fields except ready
	items    []Item
	chunks   uint64 // accepted chunks, including those already read
	started  bool   // the head has arrived
	consumed int    // bytes for which no credit has been granted yet
	closed   bool   // the final item has been added
	grant    func(count int)
	ready    chan struct{} // has a value when items may have been added
	content  *message.StoredAnswer
}

// NewInbox returns an empty inbox. With keepContent it keeps a copy of the whole answer, for
// the record of an idempotency key.
func NewInbox(keepContent bool) *Inbox {
	inbox := &Inbox{ready: make(chan struct{}, 1)}
	if keepContent {
		inbox.content = &message.StoredAnswer{}
	}
	return inbox
}

// Content returns a copy of what has arrived of the answer, or nil if the content is not kept or
// nothing has arrived.
func (inbox *Inbox) Content() *message.StoredAnswer {
	inbox.mutex.Lock()
	defer inbox.mutex.Unlock()
	if inbox.content == nil || !inbox.started {
		return nil
	}
	content := *inbox.content
	return &content
}

// SetGrant sets the function that grants credits to the sender. The sender changes when an
// attempt moves to another owner.
func (inbox *Inbox) SetGrant(grant func(count int)) {
	inbox.mutex.Lock()
	defer inbox.mutex.Unlock()
	inbox.grant = grant
}

// Started reports whether any part of an answer has arrived.
func (inbox *Inbox) Started() bool {
	inbox.mutex.Lock()
	defer inbox.mutex.Unlock()
	return inbox.started
}

// Chunks returns the number of chunks that have been accepted.
func (inbox *Inbox) Chunks() uint64 {
	inbox.mutex.Lock()
	defer inbox.mutex.Unlock()
	return inbox.chunks
}

// PutHead adds the head of the answer. A second head, as it arrives after a resume, is
// dropped.
func (inbox *Inbox) PutHead(status int, contentType string) {
	inbox.mutex.Lock()
	defer inbox.mutex.Unlock()
	if inbox.closed || inbox.started {
		return
	}
	inbox.started = true
	if inbox.content != nil {
		inbox.content.Status, inbox.content.ContentType = status, contentType
	}
	inbox.addItem(Item{Status: status, ContentType: contentType})
}

// PutChunk adds a chunk if it is the next one, and reports whether it was added. After a
// resume, chunks may arrive twice. The chunks of an attempt whose head was not forwarded
// are never added.
func (inbox *Inbox) PutChunk(index uint64, payload []byte) bool {
	inbox.mutex.Lock()
	defer inbox.mutex.Unlock()
	if inbox.closed || !inbox.started || index != inbox.chunks {
		return false
	}
	inbox.chunks++
	inbox.appendContent(payload)
	inbox.addItem(Item{Payload: payload})
	return true
}

// PutFinal adds the end of the answer. Nothing is accepted after it.
func (inbox *Inbox) PutFinal(answer effect.Answer) {
	inbox.mutex.Lock()
	defer inbox.mutex.Unlock()
	if inbox.closed {
		return
	}
	inbox.closed = true
	inbox.addItem(Item{Final: &answer})
}

// appendContent adds a chunk to the kept content as the caller receives it: for a streamed
// answer as a server-sent event, otherwise unchanged.
func (inbox *Inbox) appendContent(payload []byte) {
	if inbox.content == nil {
		return
	}
	if !IsStream(inbox.content.ContentType) {
		inbox.content.Body = append(inbox.content.Body, payload...)
		return
	}
	inbox.content.Body = AppendEvent(inbox.content.Body, payload)
}

func (inbox *Inbox) addItem(item Item) {
	inbox.items = append(inbox.items, item)
	select {
	case inbox.ready <- struct{}{}:
	default:
	}
}

// Next waits until there are items, and returns all items in order of arrival.
func (inbox *Inbox) Next(ctx context.Context) ([]Item, error) {
	for {
		if items := inbox.takeItems(); len(items) > 0 {
			return items, nil
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-inbox.ready:
		}
	}
}

func (inbox *Inbox) takeItems() []Item {
	inbox.mutex.Lock()
	defer inbox.mutex.Unlock()
	items := inbox.items
	inbox.items = nil
	return items
}

// Consumed is called after count bytes have been written to the caller. It grants credit
// for consumed bytes once there are at least minCreditBytes of them.
func (inbox *Inbox) Consumed(count int) {
	inbox.mutex.Lock()
	inbox.consumed += count
	due := 0
	if inbox.consumed >= minCreditBytes {
		due, inbox.consumed = inbox.consumed, 0
	}
	grant := inbox.grant
	inbox.mutex.Unlock()
	if due > 0 && grant != nil {
		grant(due)
	}
}
