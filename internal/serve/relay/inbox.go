package relay

import (
	"context"
	"sync"

	"teaselmoor/internal/decide/effect"
	"teaselmoor/internal/decide/message"
)

// Item is one part of an answer on its way to the caller. Exactly one field
// group is set: a head, a payload, or the final answer.
type Item struct {
	// Status and ContentType form the head.
	Status      int
	ContentType string
	Payload     []byte
	Final       *effect.Answer
}

// Inbox holds what has arrived for one request and was not yet read by its
// caller's handler. The sender's window bounds it. Safe for concurrent use.
type Inbox struct {
	mutex    sync.Mutex // guards all but ready
	items    []Item
	chunks   uint64
	started  bool
	consumed int
	closed   bool
	grant    func(count int)
	ready    chan struct{} // holds a token while items is not empty
	kept     *message.StoredAnswer
}

// NewInbox returns an empty inbox. With keep it holds on to the whole content,
// for the record of an idempotency key.
func NewInbox(keep bool) *Inbox {
	inbox := &Inbox{ready: make(chan struct{}, 1)}
	if keep {
		inbox.kept = &message.StoredAnswer{}
	}
	return inbox
}

// Content returns a copy of what has arrived, or nil when it is not kept or
// nothing arrived.
func (inbox *Inbox) Content() *message.StoredAnswer {
	inbox.mutex.Lock()
	defer inbox.mutex.Unlock()
	if inbox.kept == nil || !inbox.started {
		return nil
	}
	content := *inbox.kept
	return &content
}

// Bind sets where credits go; it changes when an attempt moves to another owner.
func (inbox *Inbox) Bind(grant func(count int)) {
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

// Chunks returns the number of chunks taken in.
func (inbox *Inbox) Chunks() uint64 {
	inbox.mutex.Lock()
	defer inbox.mutex.Unlock()
	return inbox.chunks
}

// PutHead adds the head; a second one, after a resume, is dropped.
func (inbox *Inbox) PutHead(status int, contentType string) {
	inbox.mutex.Lock()
	defer inbox.mutex.Unlock()
	if inbox.closed || inbox.started {
		return
	}
	inbox.started = true
	if inbox.kept != nil {
		inbox.kept.Status, inbox.kept.ContentType = status, contentType
	}
	inbox.put(Item{Status: status, ContentType: contentType})
}

// PutChunk adds a chunk if it is the next one, and reports whether it was:
// after a resume chunks may come twice, and those of an attempt whose head was
// not let through never count.
func (inbox *Inbox) PutChunk(index uint64, payload []byte) bool {
	inbox.mutex.Lock()
	defer inbox.mutex.Unlock()
	if inbox.closed || !inbox.started || index != inbox.chunks {
		return false
	}
	inbox.chunks++
	inbox.keep(payload)
	inbox.put(Item{Payload: payload})
	return true
}

// PutFinal adds the end; nothing is taken in after it.
func (inbox *Inbox) PutFinal(answer effect.Answer) {
	inbox.mutex.Lock()
	defer inbox.mutex.Unlock()
	if inbox.closed {
		return
	}
	inbox.closed = true
	inbox.put(Item{Final: &answer})
}

// keep adds a chunk to the kept content, in the form of the caller's wire: a
// streamed answer as its events, another as it is.
func (inbox *Inbox) keep(payload []byte) {
	if inbox.kept == nil {
		return
	}
	if !IsStream(inbox.kept.ContentType) {
		inbox.kept.Body = append(inbox.kept.Body, payload...)
		return
	}
	inbox.kept.Body = AppendEvent(inbox.kept.Body, payload)
}

func (inbox *Inbox) put(item Item) {
	inbox.items = append(inbox.items, item)
	select {
	case inbox.ready <- struct{}{}:
	default:
	}
}

// Next waits for items and returns all that have arrived, in order.
func (inbox *Inbox) Next(ctx context.Context) ([]Item, error) {
	for {
		if items := inbox.take(); len(items) > 0 {
			return items, nil
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-inbox.ready:
		}
	}
}

func (inbox *Inbox) take() []Item {
	inbox.mutex.Lock()
	defer inbox.mutex.Unlock()
	items := inbox.items
	inbox.items = nil
	return items
}

// Consumed tells the inbox that the caller has been written that many bytes,
// and gives credit back in steps.
func (inbox *Inbox) Consumed(count int) {
	inbox.mutex.Lock()
	inbox.consumed += count
	due := 0
	if inbox.consumed >= creditStep {
		due, inbox.consumed = inbox.consumed, 0
	}
	grant := inbox.grant
	inbox.mutex.Unlock()
	if due > 0 && grant != nil {
		grant(due)
	}
}
