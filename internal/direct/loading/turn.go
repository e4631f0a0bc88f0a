package loading

import (
	"slices"

	"teaselmoor/internal/base/clock"
)

// The weight store sends few base models at full speed, and each takes seconds. A load that
// starts while others are in flight takes longer in proportion to their number at its start.
// Its duration stays the same even if the others end soon or their servers leave. So a load
// that waits for the end of another one often ends earlier. Servers take turns, which their
// owners determine from the servers' tables, without further messages.

// turnTimeout is how long the next server has to use its turn before the one behind it may
// load: the owner of the next server may have stopped, or be unable to reach it.
const turnTimeout = 500 * clock.Millisecond

// endMargin is added to the expected end of a load, as its start is reported some
// milliseconds late and timers fire late.
const endMargin = 50 * clock.Millisecond

// Turns is one daemon's view of the base model loads of a service's servers.
type Turns struct {
	rate      *ModelRate
	starts    map[string]modelStart   // by server, while it loads
	ends      map[string]clock.Millis // by server, when its load is expected to end
	turnSince clock.Millis            // since when the next load may start; 0: it may not
}

// modelStart is the start of a load.
type modelStart struct {
	at       clock.Millis
	inFlight int // loads in flight, itself included
}

// minGain is how much earlier a load must end in parallel with others than after them to
// be started now. A server that leaves during its load slows down all loads that start
// before its expected end.
const minGain = 500 * clock.Millisecond

// NewTurns returns a view without loads.
func NewTurns() *Turns {
	return &Turns{rate: NewModelRate(), starts: make(map[string]modelStart), ends: make(map[string]clock.Millis)}
}

// FullSpeedLoads returns how many base models have been loaded at full speed at the same time.
func (turns *Turns) FullSpeedLoads() int {
	return turns.rate.FullSpeedLoads()
}

// TrialLoads returns how many loads may start together to find out whether they run at full
// speed.
func (turns *Turns) TrialLoads() int {
	return turns.rate.TrialLoads()
}

// Models is the state of the base models of a service's servers.
type Models struct {
	Loading        []string     // servers that are loading their base model
	Holding        []string     // servers that hold it
	Waiting        []string     // servers that have yet to load it, the next one first
	FullSpeedLoads int          // loads that the weight store sends at full speed at the same time
	TrialLoads     int          // loads that may start together to find out whether it sends more
	LoadTime       clock.Millis // of a load at full speed
}

// MayLoad reports whether a server may load its base model now.
func (turns *Turns) MayLoad(now clock.Millis, server string, models Models) bool {
	turns.Update(now, models)
	if !turns.worthStarting(now, models) {
		turns.turnSince = 0
		return false
	}
	if turns.turnSince == 0 {
		turns.turnSince = now
	}
	position := slices.Index(models.Waiting, server)
	return position >= 0 && now-turns.turnSince >= clock.Millis(position)*turnTimeout
}

// RemainingTimes returns the expected remaining time of the loads in flight, by server.
func (turns *Turns) RemainingTimes(now clock.Millis) map[string]clock.Millis {
	remaining := make(map[string]clock.Millis, len(turns.ends))
	for server, endAt := range turns.ends {
		remaining[server] = endAt - now
	}
	return remaining
}

// Update records loads that have started or ended. It must be called often, as a load is
// assumed to start when it is first seen. The load of a server that has left counts until its
// expected end.
func (turns *Turns) Update(now clock.Millis, models Models) {
	turns.observe(now, models)
	for server, endAt := range turns.ends {
		loading := slices.Contains(models.Loading, server)
		if slices.Contains(models.Holding, server) || !loading && now >= endAt {
			delete(turns.ends, server)
		}
	}
	for _, server := range models.Loading {
		if _, known := turns.ends[server]; !known {
			turns.ends[server] = now + models.loadDuration(len(turns.ends)) + endMargin
			turns.starts[server] = modelStart{at: now, inFlight: len(turns.ends)}
		}
	}
}

// observe updates the rate with loads that have ended or take longer than expected.
func (turns *Turns) observe(now clock.Millis, models Models) {
	for server, start := range turns.starts {
		turns.rate.ObserveInFlight(start.inFlight, now-start.at, models.LoadTime)
		if slices.Contains(models.Holding, server) {
			turns.rate.Observe(start.inFlight, now-start.at, models.LoadTime)
			delete(turns.starts, server)
		} else if !slices.Contains(models.Loading, server) {
			delete(turns.starts, server) // the server has left
		}
	}
}

// loadDuration returns the duration of a load that starts while others are in flight.
func (models Models) loadDuration(others int) clock.Millis {
	return models.LoadTime * clock.Millis(max(models.FullSpeedLoads, others+1)) / clock.Millis(models.FullSpeedLoads)
}

// trialShare is the share of a load's duration within which other loads count as started
// together with it.
const trialShare = 0.15

// startedTogether reports whether all loads in flight have just started.
func (turns *Turns) startedTogether(now clock.Millis, models Models) bool {
	for server := range turns.ends {
		start, ok := turns.starts[server]
		if !ok || now-start.at > clock.Millis(trialShare*float64(models.LoadTime)) {
			return false
		}
	}
	return true
}

// worthStarting reports whether a load that starts now ends earlier, by minGain at least, than
// one that waits for the next load in flight to end.
func (turns *Turns) worthStarting(now clock.Millis, models Models) bool {
	if len(turns.ends) < models.FullSpeedLoads || len(turns.ends) < models.TrialLoads && turns.startedTogether(now, models) {
		return true
	}
	next := clock.Millis(0)
	for _, endAt := range turns.ends {
		if next == 0 || endAt < next {
			next = endAt
		}
	}
	return models.loadDuration(len(turns.ends))+minGain <= max(0, next-now)+models.loadDuration(len(turns.ends)-1)
}
