package mirror_test

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/mirror"
	"teaselmoor/internal/direct/platformapi"
)

// scriptedStore answers each call with the next page of a script; then it ends the mirror.
type scriptedStore struct {
	pages []platformapi.Page
	calls []string
	end   context.CancelFunc
}

func (store *scriptedStore) next(call string) (platformapi.Page, error) {
	if len(store.pages) == 0 {
		store.end()
		return platformapi.Page{}, &platformapi.StoreError{Failure: platformapi.Unavailable, Err: context.Canceled}
	}
	store.calls = append(store.calls, call)
	page := store.pages[0]
	store.pages = store.pages[1:]
	return page, nil
}

func (store *scriptedStore) Range(context.Context, string, string) (platformapi.Page, error) {
	return store.next("range")
}

func (store *scriptedStore) Watch(context.Context, string, int64, clock.Millis) (platformapi.Page, error) {
	return store.next("watch")
}

// recorder notes what a mirror tells.
type recorder struct {
	known          mirror.Position
	whole, changed []platformapi.Page
}

func (recorder *recorder) ReplaceAll(page platformapi.Page) {
	recorder.whole = append(recorder.whole, page)
}

func (recorder *recorder) ApplyChanges(page platformapi.Page) {
	recorder.changed = append(recorder.changed, page)
}
func (recorder *recorder) NextTurn() (bool, mirror.Position) { return true, recorder.known }
func (recorder *recorder) RecordContact(error)               {}

// play has a mirror read a script from a state that is known.
func play(t *testing.T, known mirror.Position, pages ...platformapi.Page) (*scriptedStore, *recorder) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	store, sink := &scriptedStore{pages: pages, end: cancel}, &recorder{known: known}
	options := mirror.DefaultOptions()
	options.Pause, options.FirstBackoff, options.MostBackoff = 1, 2, 2
	require.NoError(t, mirror.New(options, store, "", sink).Run(ctx))
	return store, sink
}

func items(keys ...string) []platformapi.Item {
	var listed []platformapi.Item
	for _, key := range keys {
		listed = append(listed, platformapi.Item{Key: key, Revision: 1})
	}
	return listed
}

// TestStoreOfAnotherEraIsReadAnew: a watch from a revision that has been given out again is
// answered as if nothing were missing.
func TestStoreOfAnotherEraIsReadAnew(t *testing.T) {
	later := platformapi.Page{Items: items("c"), AsOf: 12, Era: 2}
	whole := platformapi.Page{Items: items("a", "b", "c"), AsOf: 13, Era: 2}
	store, sink := play(t, mirror.Position{Era: 1, Revision: 10}, later, whole, platformapi.Page{AsOf: 13, Era: 2})
	require.Equal(t, []string{"watch", "range", "watch"}, store.calls)
	require.Empty(t, sink.changed)
	require.Equal(t, []platformapi.Page{whole}, sink.whole)
}

// TestStoreIsRestoredBetweenTwoPages: pages of two eras make no list.
func TestStoreIsRestoredBetweenTwoPages(t *testing.T) {
	first := platformapi.Page{Items: items("a"), AsOf: 20, Era: 1, More: true}
	second := platformapi.Page{Items: items("b"), AsOf: 15, Era: 2}
	whole := platformapi.Page{Items: items("a", "b"), AsOf: 15, Era: 2}
	store, sink := play(t, mirror.Position{}, first, second, whole)
	require.Equal(t, []string{"range", "range", "range"}, store.calls)
	require.Equal(t, []platformapi.Page{whole}, sink.whole)
}

// TestPagesMakeAList: the revision is that of the first page.
func TestPagesMakeAList(t *testing.T) {
	first := platformapi.Page{Items: items("a"), AsOf: 20, Era: 1, More: true}
	second := platformapi.Page{Items: items("b"), AsOf: 22, Era: 1}
	_, sink := play(t, mirror.Position{}, first, second)
	require.Len(t, sink.whole, 1)
	require.Equal(t, items("a", "b"), sink.whole[0].Items)
	require.Equal(t, int64(20), sink.whole[0].AsOf)
}
