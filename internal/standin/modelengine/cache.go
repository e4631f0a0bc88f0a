package modelengine

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// EventsPath is where the engine shows cache events; After in the query is the
// last sequence number that the reader has.
const EventsPath = "/events"

// keptEvents is the number of cache events that can still be read.
const keptEvents = 4096

// prefixBytes is the length of the prompt prefix that is cached as one.
const prefixBytes = 64

// CacheEvent tells that a prompt prefix entered or left the cache.
type CacheEvent struct {
	Sequence uint64 // a reader sees a lost event as a gap
	Model    string
	Prefix   uint64
	Stored   bool
}

type cachedPrefix struct {
	model  string
	prefix uint64
}

type timedEvent struct {
	at    time.Time
	event CacheEvent
}

// prefixCache keeps the prefixes used last. The engine's lock guards it.
type prefixCache struct {
	limit    int
	gap      int
	sequence uint64
	used     []cachedPrefix // least recently used first
	events   []timedEvent
}

func newPrefixCache(options Options) *prefixCache {
	return &prefixCache{limit: options.CachedPrefixes, gap: options.EventGap}
}

// use brings a prompt's prefix into the cache.
func (cache *prefixCache) use(model, prompt string) {
	wanted := cachedPrefix{model: model, prefix: xxhash.Sum64String(prompt[:min(len(prompt), prefixBytes)])}
	for at, present := range cache.used {
		if present == wanted {
			cache.used = append(append(cache.used[:at:at], cache.used[at+1:]...), wanted)
			return
		}
	}
	cache.used = append(cache.used, wanted)
	cache.note(wanted, true)
	if len(cache.used) > cache.limit {
		cache.note(cache.used[0], false)
		cache.used = cache.used[1:]
	}
}

// note adds an event, or loses it when its turn has come.
func (cache *prefixCache) note(changed cachedPrefix, stored bool) {
	cache.sequence++
	if cache.gap > 0 && cache.sequence%uint64(cache.gap) == 0 {
		return
	}
	cache.events = append(cache.events, timedEvent{at: time.Now(), event: CacheEvent{
		Sequence: cache.sequence, Model: changed.model, Prefix: changed.prefix, Stored: stored,
	}})
	if len(cache.events) > keptEvents {
		cache.events = cache.events[1:]
	}
}

// after returns the events that are old enough to be shown.
func (cache *prefixCache) after(sequence uint64, limit time.Time) []CacheEvent {
	shown := []CacheEvent{}
	for _, timed := range cache.events {
		if timed.event.Sequence > sequence && !timed.at.After(limit) {
			shown = append(shown, timed.event)
		}
	}
	return shown
}

func (engine *Engine) events(writer http.ResponseWriter, request *http.Request) {
	after, _ := strconv.ParseUint(request.URL.Query().Get("After"), 10, 64)
	engine.mutex.Lock()
	shown := engine.cache.after(after, time.Now().Add(-engine.options.EventLag))
	engine.mutex.Unlock()
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(shown)
}
