package mirror_test

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/mirror"
	"teaselmoor/internal/direct/port"
)

// scriptedStore answers each call with the next page of a script; then it ends the mirror.
type scriptedStore struct {
	pages []port.Page
	calls []string
	end   context.CancelFunc
}

func (store *scriptedStore) next(call string) (port.Page, error) {
	if len(store.pages) == 0 {
		store.end()
		return port.Page{}, &port.StoreError{Failure: port.Unavailable, Err: context.Canceled}
	}
	store.calls = append(store.calls, call)
	page := store.pages[0]
	store.pages = store.pages[1:]
	return page, nil
}

func (store *scriptedStore) Range(context.Context, string, string) (port.Page, error) {
	return store.next("range")
}

func (store *scriptedStore) Watch(context.Context, string, int64, clock.Millis) (port.Page, error) {
	return store.next("watch")
}

// recorder notes what a mirror tells.
type recorder struct {
	known          mirror.Known
	whole, changed []port.Page
}

func (recorder *recorder) Whole(page port.Page) { recorder.whole = append(recorder.whole, page) }

func (recorder *recorder) Changed(page port.Page)     { recorder.changed = append(recorder.changed, page) }
func (recorder *recorder) Turn() (bool, mirror.Known) { return true, recorder.known }
func (recorder *recorder) Contact(error)              {}

// play has a mirror read a script from a state that is known.
func play(t *testing.T, known mirror.Known, pages ...port.Page) (*scriptedStore, *recorder) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	store, sink := &scriptedStore{pages: pages, end: cancel}, &recorder{known: known}
	options := mirror.DefaultOptions()
	options.Pause, options.FirstBackoff, options.MostBackoff = 1, 2, 2
	require.NoError(t, mirror.New(options, store, "", sink).Run(ctx))
	return store, sink
}

func items(keys ...string) []port.Item {
	var listed []port.Item
	for _, key := range keys {
		listed = append(listed, port.Item{Key: key, Revision: 1})
	}
	return listed
}

// TestStoreOfAnotherEraIsReadAnew: a watch from a revision that has been given out again is
// answered as if nothing were missing.
func TestStoreOfAnotherEraIsReadAnew(t *testing.T) {
	later := port.Page{Items: items("c"), AsOf: 12, Era: 2}
	whole := port.Page{Items: items("a", "b", "c"), AsOf: 13, Era: 2}
	store, sink := play(t, mirror.Known{Era: 1, Revision: 10}, later, whole, port.Page{AsOf: 13, Era: 2})
	require.Equal(t, []string{"watch", "range", "watch"}, store.calls)
	require.Empty(t, sink.changed)
	require.Equal(t, []port.Page{whole}, sink.whole)
}

// TestStoreIsRestoredBetweenTwoPages: pages of two eras make no list.
func TestStoreIsRestoredBetweenTwoPages(t *testing.T) {
	first := port.Page{Items: items("a"), AsOf: 20, Era: 1, More: true}
	second := port.Page{Items: items("b"), AsOf: 15, Era: 2}
	whole := port.Page{Items: items("a", "b"), AsOf: 15, Era: 2}
	store, sink := play(t, mirror.Known{}, first, second, whole)
	require.Equal(t, []string{"range", "range", "range"}, store.calls)
	require.Equal(t, []port.Page{whole}, sink.whole)
}

// TestPagesMakeAList: the revision is that of the first page.
func TestPagesMakeAList(t *testing.T) {
	first := port.Page{Items: items("a"), AsOf: 20, Era: 1, More: true}
	second := port.Page{Items: items("b"), AsOf: 22, Era: 1}
	_, sink := play(t, mirror.Known{}, first, second)
	require.Len(t, sink.whole, 1)
	require.Equal(t, items("a", "b"), sink.whole[0].Items)
	require.Equal(t, int64(20), sink.whole[0].AsOf)
}
