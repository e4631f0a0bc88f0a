package loading

import (
	"slices"

	"teaselmoor/internal/base/clock"
)

// The weight store sends few base models at full speed, and each takes seconds. One
// that is asked for while others are on their way takes longer in proportion to their
// number at that moment, to its end, even where the others end soon or their servers
// have left. So a load that waits for the end of another one often ends earlier.
// Servers take turns without a word between the daemons that order them, by what
// tables say.

// turnPatience is how long a turn is left to the server that is next before the one
// behind it takes it: the daemon that orders the next one may be gone, or unable to
// reach it.
const turnPatience = 500 * clock.Millisecond

// endMargin is added to the expected end of a load: its start is heard of some
// milliseconds late, and timers fire late.
const endMargin = 50 * clock.Millisecond

// Turns is one daemon's view of the base models on their way to the servers of a
// service.
type Turns struct {
	rate  *ModelRate
	began map[string]modelStart   // by server, while its load is on its way
	ends  map[string]clock.Millis // by server, when its load is expected to end
	free  clock.Millis            // since when it has been some server's turn; 0: it is none's
}

// modelStart is how a load began.
type modelStart struct {
	at    clock.Millis
	onWay int // itself included
}

// leastGain is how much earlier a load beside others must end to be worth it: a server
// that leaves while its load is on its way slows down all that begin meanwhile.
const leastGain = 500 * clock.Millisecond

// NewTurns returns turns without a load.
func NewTurns() *Turns {
	return &Turns{rate: NewModelRate(), began: make(map[string]modelStart), ends: make(map[string]clock.Millis)}
}

// FullSpeedLoads is how many base models travel at full speed, as far as was seen.
func (turns *Turns) FullSpeedLoads() int {
	return turns.rate.FullSpeedLoads()
}

// TrialLoads is how many may begin together, to see whether they do.
func (turns *Turns) TrialLoads() int {
	return turns.rate.TrialLoads()
}

// Models is what is known of the base models of a service's servers.
type Models struct {
	Loading        []string     // servers that a base model is on its way to
	Holding        []string     // servers that hold theirs
	Waiting        []string     // servers that are to load theirs, the next one first
	FullSpeedLoads int          // loads that the weight store sends at full speed
	TrialLoads     int          // loads that may begin together, to see whether it sends more
	LoadTime       clock.Millis // of one of them
}

// MayLoad reports whether a server may load its base model now.
func (turns *Turns) MayLoad(now clock.Millis, server string, models Models) bool {
	turns.Update(now, models)
	if !turns.pays(now, models) {
		turns.free = 0
		return false
	}
	if turns.free == 0 {
		turns.free = now
	}
	place := slices.Index(models.Waiting, server)
	return place >= 0 && now-turns.free >= clock.Millis(place)*turnPatience
}

// RemainingTimes returns in how many milliseconds the loads on their way are expected to end,
// by server.
func (turns *Turns) RemainingTimes(now clock.Millis) map[string]clock.Millis {
	left := make(map[string]clock.Millis, len(turns.ends))
	for server, endAt := range turns.ends {
		left[server] = endAt - now
	}
	return left
}

// Update takes down loads that have begun or ended; it is to be called often, as the
// time of a load counts from its start. The load of a server that has left goes on
// until its expected end.
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
			turns.ends[server] = now + models.span(len(turns.ends)) + endMargin
			turns.began[server] = modelStart{at: now, onWay: len(turns.ends)}
		}
	}
}

// observe learns from loads that have ended.
func (turns *Turns) observe(now clock.Millis, models Models) {
	for server, start := range turns.began {
		turns.rate.Lasts(start.onWay, now-start.at, models.LoadTime)
		if slices.Contains(models.Holding, server) {
			turns.rate.Observe(start.onWay, now-start.at, models.LoadTime)
			delete(turns.began, server)
		} else if !slices.Contains(models.Loading, server) {
			delete(turns.began, server) // the server has left
		}
	}
}

// span is how long a load takes that begins while others are on their way.
func (models Models) span(others int) clock.Millis {
	return models.LoadTime * clock.Millis(max(models.FullSpeedLoads, others+1)) / clock.Millis(models.FullSpeedLoads)
}

// trialShare is the part of a load's time within which loads begin together.
const trialShare = 0.15

// together reports whether all loads on their way have just begun.
func (turns *Turns) together(now clock.Millis, models Models) bool {
	for server := range turns.ends {
		start, ok := turns.began[server]
		if !ok || now-start.at > clock.Millis(trialShare*float64(models.LoadTime)) {
			return false
		}
	}
	return true
}

// pays reports whether a load that begins now ends well before one that waits for the
// end of the next load on its way.
func (turns *Turns) pays(now clock.Millis, models Models) bool {
	if len(turns.ends) < models.FullSpeedLoads || len(turns.ends) < models.TrialLoads && turns.together(now, models) {
		return true
	}
	next := clock.Millis(0)
	for _, endAt := range turns.ends {
		if next == 0 || endAt < next {
			next = endAt
		}
	}
	return models.span(len(turns.ends))+leastGain <= max(0, next-now)+models.span(len(turns.ends)-1)
}
