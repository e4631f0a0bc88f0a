// Package shed decides which requests to an overloaded plain service are refused, so that those
// that are admitted are answered within their goal. It does no I/O and reads no clock.
//
// Each daemon decides alone, by the requests in progress at the servers of the service, which it
// knows about 100 ms late. All daemons see the same counts, so they refuse about the same share.
package shed

import (
	"math"

	"github.com/pkg/errors"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/fleet"
	"teaselmoor/internal/direct/inflight"
	"teaselmoor/internal/direct/retryafter"
)

// Options are the options for load shedding.
type Options struct {
	Enabled bool
	// TargetShare is the share of the goal that an answer takes at the target load.
	TargetShare float64
	// MaxShare bounds the share of the requests of a rank that are refused.
	MaxShare float64
}

// DefaultOptions returns the default options.
func DefaultOptions() Options {
	return Options{Enabled: true, TargetShare: 0.5, MaxShare: 0.9}
}

// Check reports the first option that is invalid.
func (options Options) Check() error {
	for name, value := range map[string]float64{"TargetShare": options.TargetShare, "MaxShare": options.MaxShare} {
		if !(value > 0 && value < 1) {
			return errors.Errorf("Shed.%s is %g, and must be above 0 and below 1", name, value)
		}
	}
	return nil
}

// View is what a daemon knows of the usable servers of a service.
type View struct {
	Requests int // in progress, of all daemons
	Others   int // part of Requests: of other daemons
	Slots    int
	FreeSlot bool // a server has fewer requests than slots
}

// NewView returns the view of the given servers by the counts of a daemon. Blocked reports whether a
// server takes no requests of this daemon now, so that its free slots do not count; nil: none.
func NewView(now clock.Millis, servers []*fleet.Member, work *inflight.Tracker, blocked func(server string) bool) View {
	view := View{}
	for _, server := range servers {
		runs, slots := work.Load(server.ID).Runs, max(1, server.Slots)
		view.Requests += runs
		view.Others += runs - work.Own().Loads[server.ID].Runs
		view.Slots += slots
		if runs < slots && server.PausedFor(now) == 0 && (blocked == nil || !blocked(server.ID)) {
			view.FreeSlot = true
		}
	}
	return view
}

// load returns the requests in progress for each slot.
func (view View) load() float64 {
	return float64(view.Requests) / float64(max(1, view.Slots))
}

// Request is a request to be admitted or refused.
type Request struct {
	Hash uint64 // of the request's id
	Rank int    // 0 is the most urgent
}

// Decision is the decision on a request, with the reasons for it.
type Decision struct {
	Refused      bool
	Load, Target float64 // requests in progress for each slot
	Share        float64 // of the requests of this rank that are refused
	Excess       float64 // requests in progress above the target
	SlotMillis   float64 // estimated time that a request occupies a slot
	Slots        int
}

// maxRetryAfter bounds the time that a refused caller is told to wait.
const maxRetryAfter = 2 * clock.Second

// countsMaxAge is the age of other daemons' counts from which on they are not used. In an
// overloaded service they change with every report, several times a second.
const countsMaxAge = 1 * clock.Second

// Service decides for the requests of one service. The zero value is not usable; use New.
type Service struct {
	options Options
	goal    clock.Millis // of its requests

	at        clock.Millis // of the last observation; 0: none
	view      View         // as last observed
	logPass   float64      // logarithm of the share of requests that are admitted
	changedAt clock.Millis // when the counts of other daemons last changed; 0: never
	slotTime  slotTime
	ranks     rankShares
}

// New returns an instance that has observed nothing and refuses nothing.
func New(options Options, goal clock.Millis) *Service {
	return &Service{options: options, goal: goal}
}

// Goal returns the goal of the service's requests.
func (service *Service) Goal() clock.Millis {
	return service.goal
}

// RecordAnswer adds the time that a successful answer took, from the choice of its server to its
// end, to the estimate of the time in a slot.
func (service *Service) RecordAnswer(took clock.Millis) {
	service.slotTime.observe(float64(took), service.view.load())
}

// Target returns the load at which an answer takes TargetShare of the goal, in requests for each
// slot; 0 if it is unknown. It is at least 1, as a lower load leaves slots free.
func (service *Service) Target() float64 {
	millis := service.slotTime.estimate()
	if millis <= 0 {
		return 0
	}
	return max(1, service.options.TargetShare*float64(service.goal)/millis)
}

// Load returns the load as last observed, in requests for each slot.
func (service *Service) Load() float64 {
	return service.view.load()
}

// minShare is the smallest share that is refused. A burst of arrivals in a service with 0.8 of its
// slots taken raises the share to 0.03 at times.
const minShare = 0.1

// Due reports whether Observe would use counts now.
func (service *Service) Due(now clock.Millis) bool {
	return service.at == 0 || now-service.at >= observeInterval
}

// Share returns the share of all requests that are refused.
func (service *Service) Share() float64 {
	if share := 1 - math.Exp(service.logPass); share >= minShare {
		return share
	}
	return 0
}

// Arrived records that a caller's request has arrived, for the shares of the ranks.
func (service *Service) Arrived(rank int) {
	service.ranks.observe(rank)
}

// Decide decides on a request. Nothing is refused while a slot is free, or while the counts of
// other daemons are missing or out of date.
func (service *Service) Decide(now clock.Millis, view View, request Request) Decision {
	target := service.Target()
	decision := Decision{Load: view.load(), Target: target, SlotMillis: service.slotTime.estimate(), Slots: view.Slots}
	if !service.options.Enabled || target == 0 || view.Slots == 0 || view.FreeSlot || !service.current(now) {
		return decision
	}
	decision.Share = service.ranks.shareOf(request.Rank, service.Share(), service.options.MaxShare)
	decision.Refused = uniform(request.Hash) < decision.Share
	decision.Excess = max(0, float64(view.Requests)-target*float64(view.Slots))
	return decision
}

// current reports whether the counts of other daemons are recent enough to refuse requests.
func (service *Service) current(now clock.Millis) bool {
	return service.changedAt > 0 && now-service.changedAt <= countsMaxAge
}

// uniform returns a number from 0 to 1 that depends on a hash only. The bits are mixed, because the
// same hash also decides which server is chosen for the request.
func uniform(hash uint64) float64 {
	hash ^= hash >> 33
	hash *= 0xff51afd7ed558ccd
	hash ^= hash >> 33
	return float64(hash>>11) / (1 << 53)
}

// Refusal returns the decision as the refusal of a caller of the given rank, for the time that it is
// told to wait. Share is the part of all daemons' requests that arrive at this daemon.
func (decision Decision) Refusal(rank int, spread uint64, share float64) retryafter.Refusal {
	return retryafter.Refusal{
		Rank: rank, Units: 1, Lacking: max(1, decision.Excess), Rate: 1000 * float64(decision.Slots) / decision.SlotMillis, Share: share,
		Spread: spread, Longest: maxRetryAfter,
	}
}
