package gateway

import (
	"context"

	"teaselmoor/internal/base/clock"
)

// refreshTimeout bounds the wait for an answer of the store that a request needs: two calls to a slow store, one after the other.
const refreshTimeout = 600 * clock.Millisecond

// storeRefresh lets requests wait for an answer of the store to a call that began after they came. A watch that waits says nothing while the link
// to the store is silent, and nothing of the time in which this daemon stood still.
type storeRefresh struct {
	slot  chan struct{} // holds a token while a call is in progress
	began clock.Millis  // when the last call began that was answered; guarded by core.mutex
}

func newStoreRefresh() *storeRefresh {
	return &storeRefresh{slot: make(chan struct{}, 1)}
}

// refreshStore has this daemon know all that the store had accepted when it was called, and reports whether it does. Requests that come at the
// same time share a call. The mutex must be held; it is released during the wait.
func (gateway *Gateway) refreshStore(ctx context.Context) bool {
	core := gateway.core
	if core.outages.FailingSince() > 0 || core.store.revision == 0 {
		return false
	}
	asked := core.now()
	core.mutex.Unlock()
	defer core.mutex.Lock()
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout.Duration())
	defer cancel()
	select {
	case core.refresh.slot <- struct{}{}:
		defer func() { <-core.refresh.slot }()
	case <-ctx.Done():
		return false
	}
	return core.refreshedSince(asked) || gateway.callStore(ctx)
}

// refreshedSince reports whether the store has answered a call that began at a moment or later.
func (core *core) refreshedSince(moment clock.Millis) bool {
	core.mutex.Lock()
	defer core.mutex.Unlock()
	return core.refresh.began >= moment
}

// callStore reads the changes that the store has now, and reports whether it has answered.
func (gateway *Gateway) callStore(ctx context.Context) bool {
	core := gateway.core
	core.mutex.Lock()
	began, revision, era := core.now(), core.store.revision, core.store.era
	core.mutex.Unlock()
	page, err := gateway.store.Watch(ctx, core.decoder.Prefix(), revision, 0)
	if err != nil || page.Era != era {
		return false
	}
	core.ApplyChanges(page)
	core.mutex.Lock()
	defer core.mutex.Unlock()
	core.refresh.began = began
	return true
}
