package choose_test

import (
	"slices"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/fleet"
	"teaselmoor/internal/direct/inflight"
	"teaselmoor/internal/direct/platformapi"
)

// Parameters of the simulated engines.
const (
	siteSlots        = 12
	siteAdapterSlots = 8
	siteStep         = 9.47 // milliseconds of a step without a prompt, at speed 1
	siteRate         = 19.2 // prompt tokens per millisecond, at speed 1
	siteChunk        = 1024 // maximum prompt tokens per step
	siteEventSteps   = 4    // steps per event
	siteSlowness     = 2.5  // factor by which a slow engine is slower
	siteLoad         = 250  // milliseconds to load an adapter from the weight store
	siteRecentLoad   = 30   // milliseconds to load an adapter that the server held recently
)

// siteRequest is a request of the simulation.
type siteRequest struct {
	attempt   uint64
	daemon    int
	adapter   platformapi.Adapter
	frequent  bool // the daemon was sent another request for the adapter recently
	arrived   float64
	tokens    float64 // of the prompt, still to be read
	prompt    int
	events    int // still to be sent
	steps     int // since the last event
	lastEvent float64
	pause     float64 // longest so far
	first     float64 // time to the first event
}

// siteSlot is an adapter slot of an engine.
type siteSlot struct {
	adapter platformapi.Adapter
	readyAt float64
	usedAt  float64
}

// siteEngine is a simulated engine. Between the decoding steps of its streams it reads prompts,
// one after another.
type siteEngine struct {
	id      string
	speed   float64                // true speed factor
	slow    func(now float64) bool // whether the engine is slower by siteSlowness at a time
	now     float64
	queue   []*siteRequest // without a slot
	reading []*siteRequest
	streams []*siteRequest
	waiting []*siteRequest // for their adapter
	slots   []*siteSlot
	wanted  []platformapi.Adapter // adapters that wait for a slot
	served  int
	loads   int
	late    int // by a pause
}

// uses returns how many requests use an adapter or wait for it.
func (siteEngine *siteEngine) uses(adapter platformapi.Adapter) int {
	count := 0
	for _, requests := range [][]*siteRequest{siteEngine.queue, siteEngine.reading, siteEngine.streams, siteEngine.waiting} {
		for _, request := range requests {
			if request.adapter == adapter {
				count++
			}
		}
	}
	return count
}

// sum returns the work at the engine as daemons count it.
func (siteEngine *siteEngine) sum() inflight.Sum {
	sum, reading := inflight.Sum{}, 0
	adapters := make(map[platformapi.Adapter]bool)
	for i, requests := range [][]*siteRequest{siteEngine.queue, siteEngine.reading, siteEngine.waiting, siteEngine.streams} {
		for _, request := range requests {
			sum.Runs++
			adapters[request.adapter] = true
			if i < 3 {
				reading += request.prompt
			}
		}
	}
	sum.Reading, sum.Adapters = reading, len(adapters)
	return sum
}

// slot returns the adapter slot of an adapter, or nil.
func (siteEngine *siteEngine) slot(adapter platformapi.Adapter) *siteSlot {
	for _, slot := range siteEngine.slots {
		if slot.adapter == adapter {
			return slot
		}
	}
	return nil
}

// load loads an adapter, in place of the one used least recently if all slots are taken. It
// reports whether the load has started now.
func (siteEngine *siteEngine) load(adapter platformapi.Adapter, took float64) bool {
	if siteEngine.slot(adapter) != nil {
		return false
	}
	if len(siteEngine.slots) >= siteAdapterSlots {
		var oldest *siteSlot
		for _, slot := range siteEngine.slots {
			if slot.readyAt <= siteEngine.now && siteEngine.uses(slot.adapter) == 0 && (oldest == nil || slot.usedAt < oldest.usedAt) {
				oldest = slot
			}
		}
		if oldest == nil {
			if !slices.Contains(siteEngine.wanted, adapter) {
				siteEngine.wanted = append(siteEngine.wanted, adapter)
			}
			return false
		}
		siteEngine.slots = slices.DeleteFunc(siteEngine.slots, func(slot *siteSlot) bool { return slot == oldest })
	}
	siteEngine.slots = append(siteEngine.slots, &siteSlot{adapter: adapter, readyAt: siteEngine.now + took, usedAt: siteEngine.now})
	return true
}

// table returns the slots of the engine as its owner reports them.
func (siteEngine *siteEngine) table() []fleet.Slot {
	var slots []fleet.Slot
	for _, slot := range siteEngine.slots {
		slots = append(slots, fleet.Slot{Adapter: slot.adapter, Version: 1, Coming: slot.readyAt > siteEngine.now})
	}
	return slots
}

// send starts a request whose adapter is ready.
func (siteEngine *siteEngine) send(request *siteRequest) {
	siteEngine.slot(request.adapter).usedAt = siteEngine.now
	siteEngine.queue = append(siteEngine.queue, request)
	siteEngine.served++
}

// run advances the engine to a time and returns the requests that have ended.
func (siteEngine *siteEngine) run(until float64) (ended []*siteRequest) {
	for siteEngine.now < until {
		for len(siteEngine.queue) > 0 && len(siteEngine.reading)+len(siteEngine.streams) < siteSlots {
			siteEngine.reading = append(siteEngine.reading, siteEngine.queue[0])
			siteEngine.queue = siteEngine.queue[1:]
		}
		if len(siteEngine.reading)+len(siteEngine.streams) == 0 {
			siteEngine.now = until
			return ended
		}
		ended = append(ended, siteEngine.step()...)
	}
	return ended
}

// step runs one step: it reads a chunk of the prompts and decodes a token of each stream.
func (siteEngine *siteEngine) step() (ended []*siteRequest) {
	chunk, read := 0.0, 0
	for _, request := range siteEngine.reading {
		taken := min(siteChunk-chunk, request.tokens)
		request.tokens -= taken
		chunk += taken
		if request.tokens > 0 {
			break
		}
		read++
	}
	took := (siteStep + chunk/siteRate) / siteEngine.speed
	if siteEngine.slow != nil && siteEngine.slow(siteEngine.now) {
		took *= siteSlowness
	}
	siteEngine.now += took
	left := siteEngine.streams[:0]
	for _, stream := range siteEngine.streams {
		if stream.steps++; stream.steps == siteEventSteps {
			stream.pause = max(stream.pause, siteEngine.now-stream.lastEvent)
			stream.steps, stream.lastEvent = 0, siteEngine.now
			stream.events--
		}
		if stream.events > 0 {
			left = append(left, stream)
			continue
		}
		ended = append(ended, stream)
		if clock.Millis(stream.pause) > gapGoal {
			siteEngine.late++
		}
	}
	siteEngine.streams = left
	for _, request := range siteEngine.reading[:read] {
		request.first, request.lastEvent = siteEngine.now-request.arrived, siteEngine.now
		siteEngine.streams = append(siteEngine.streams, request)
	}
	siteEngine.reading = siteEngine.reading[read:]
	return ended
}
