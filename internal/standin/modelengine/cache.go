package modelengine

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// EventsPath is the path at which cache events are read. The query parameter After
// is the last sequence number that the reader has received.
const EventsPath = "/events"

// maxEvents is the number of latest cache events that are kept for readers.
const maxEvents = 4096

// prefixBytes is the length of the prompt prefix that is one cache entry.
const prefixBytes = 64

// CacheEvent reports that a prompt prefix was stored in the cache or evicted from it.
type CacheEvent struct {
	Sequence uint64 // consecutive; a lost event leaves a gap
	Model    string
	Prefix   uint64 // hash of the prompt prefix
	Stored   bool   // false: evicted
}

type cachedPrefix struct {
	model  string
	prefix uint64
}

type timedEvent struct {
	recordedAt time.Time
	event      CacheEvent
}

// prefixCache is an LRU cache of prompt prefixes. The engine's mutex guards it.
type prefixCache struct {
	limit        int
	lossInterval int // see Options.EventLossInterval
	sequence     uint64
	used         []cachedPrefix // least recently used first
	events       []timedEvent
}

func newPrefixCache(options Options) *prefixCache {
	return &prefixCache{limit: options.CachedPrefixes, lossInterval: options.EventLossInterval}
}

// recordUse stores the prefix of a prompt, or marks it as most recently used if it is
// cached already. It evicts the least recently used prefix when the cache is full.
func (cache *prefixCache) recordUse(model, prompt string) {
	used := cachedPrefix{model: model, prefix: xxhash.Sum64String(prompt[:min(len(prompt), prefixBytes)])}
	for index, cached := range cache.used {
		if cached == used {
			cache.used = append(append(cache.used[:index:index], cache.used[index+1:]...), used)
			return
		}
	}
	cache.used = append(cache.used, used)
	cache.addEvent(used, true)
	if len(cache.used) > cache.limit {
		cache.addEvent(cache.used[0], false)
		cache.used = cache.used[1:]
	}
}

// addEvent records an event, or only uses up its sequence number when the event is
// one of those to be lost.
func (cache *prefixCache) addEvent(changed cachedPrefix, stored bool) {
	cache.sequence++
	if cache.lossInterval > 0 && cache.sequence%uint64(cache.lossInterval) == 0 {
		return
	}
	cache.events = append(cache.events, timedEvent{recordedAt: time.Now(), event: CacheEvent{
		Sequence: cache.sequence, Model: changed.model, Prefix: changed.prefix, Stored: stored,
	}})
	if len(cache.events) > maxEvents {
		cache.events = cache.events[1:]
	}
}

// eventsAfter returns the events above a sequence number that were recorded no later
// than newest.
func (cache *prefixCache) eventsAfter(sequence uint64, newest time.Time) []CacheEvent {
	events := []CacheEvent{}
	for _, timed := range cache.events {
		if timed.event.Sequence > sequence && !timed.recordedAt.After(newest) {
			events = append(events, timed.event)
		}
	}
	return events
}

// events answers with the cache events after a sequence number that are at least as
// old as Options.EventLag.
func (engine *Engine) events(writer http.ResponseWriter, request *http.Request) {
	after, _ := strconv.ParseUint(request.URL.Query().Get("After"), 10, 64)
	engine.mutex.Lock()
	events := engine.cache.eventsAfter(after, time.Now().Add(-engine.options.EventLag))
	engine.mutex.Unlock()
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(events)
}
