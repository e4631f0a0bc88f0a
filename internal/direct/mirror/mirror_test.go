package mirror_test

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/mirror"
	"teaselmoor/internal/direct/port"
)

// scriptedStore answers each call with the next scripted page, and then stops the mirror.
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

// recorder records what a mirror reads.
type recorder struct {
	position       mirror.Known
	whole, changed []port.Page
}

func (recorder *recorder) Whole(page port.Page) { recorder.whole = append(recorder.whole, page) }

func (recorder *recorder) Changed(page port.Page)     { recorder.changed = append(recorder.changed, page) }
func (recorder *recorder) Turn() (bool, mirror.Known) { return true, recorder.position }
func (recorder *recorder) Contact(error)              {}

// play runs a mirror that starts at a position on scripted pages.
func play(t *testing.T, position mirror.Known, pages ...port.Page) (*scriptedStore, *recorder) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	store, sink := &scriptedStore{pages: pages, end: cancel}, &recorder{position: position}
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

// TestNewEraIsReadInFull checks that a mirror reads all items again after the era has changed.
// A restored store assigns the same revisions again, so it answers a watch from an old
// revision as if no change were missing.
func TestNewEraIsReadInFull(t *testing.T) {
	later := port.Page{Items: items("c"), AsOf: 12, Era: 2}
	whole := port.Page{Items: items("a", "b", "c"), AsOf: 13, Era: 2}
	store, sink := play(t, mirror.Known{Era: 1, Revision: 10}, later, whole, port.Page{AsOf: 13, Era: 2})
	require.Equal(t, []string{"watch", "range", "watch"}, store.calls)
	require.Empty(t, sink.changed)
	require.Equal(t, []port.Page{whole}, sink.whole)
}

// TestRestoreBetweenTwoPages checks that pages of two eras are not combined.
func TestRestoreBetweenTwoPages(t *testing.T) {
	first := port.Page{Items: items("a"), AsOf: 20, Era: 1, More: true}
	second := port.Page{Items: items("b"), AsOf: 15, Era: 2}
	whole := port.Page{Items: items("a", "b"), AsOf: 15, Era: 2}
	store, sink := play(t, mirror.Known{}, first, second, whole)
	require.Equal(t, []string{"range", "range", "range"}, store.calls)
	require.Equal(t, []port.Page{whole}, sink.whole)
}

// TestPagesAreCombined checks that pages are combined under the revision of the first one.
func TestPagesAreCombined(t *testing.T) {
	first := port.Page{Items: items("a"), AsOf: 20, Era: 1, More: true}
	second := port.Page{Items: items("b"), AsOf: 22, Era: 1}
	_, sink := play(t, mirror.Known{}, first, second)
	require.Len(t, sink.whole, 1)
	require.Equal(t, items("a", "b"), sink.whole[0].Items)
	require.Equal(t, int64(20), sink.whole[0].AsOf)
}
