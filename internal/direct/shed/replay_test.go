package shed_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/choose"
	"teaselmoor/internal/direct/fleet"
	"teaselmoor/internal/direct/inflight"
	"teaselmoor/internal/direct/platformapi"
	"teaselmoor/internal/direct/retryafter"
	"teaselmoor/internal/direct/shed"
)

// Parameters of a plain service with short requests at a site of many daemons.
const (
	daemons, slots, queue = 82, 6, 24
	work, travel          = 30.0, 3.0 // mean milliseconds in a slot, and to a server and back
	goal                  = 150 * clock.Millisecond
	reportEvery           = 50 * clock.Millisecond
	defaultRetry          = 500 * clock.Millisecond // told to callers whom all servers declined
	overload              = 8 * clock.Second        // when the rate rises from 0.6 of the capacity
	span                  = 16 * clock.Second       // of the overload, all of it counted
	start                 = 1000 * clock.Second
	capacity              = 2 * slots * 1000 / work // of two servers, in requests per second
	unit                  = 1000 / capacity / float64(span)
)

// replay is a service and the daemons that send requests to it.
type replay struct {
	deviation, timeError float64 // of the logarithm of the work; factor by which daemons measure times wrongly

	random   *rand.Rand
	now      clock.Millis
	due      map[clock.Millis][]func()
	fleet    *fleet.Fleet
	free     map[string][]float64 // when each slot becomes free, by server
	progress map[string]int       // requests at each server
	daemons  []*daemon

	onTime, late, refused, declined float64   // as shares of what the servers can answer
	shares                          []float64 // refused by the first daemon once settled
}

type daemon struct {
	work              *inflight.Tracker
	average           *choose.LoadAverage
	service           *shed.Service
	promises          *retryafter.Schedule
	arrivals, refused float64
}

// run replays arrivals at a rate in multiples of the capacity.
func run(enabled bool, rate, deviation, timeError float64) *replay {
	options := shed.DefaultOptions()
	options.Enabled = enabled
	replay := &replay{
		deviation: deviation, timeError: timeError, random: rand.New(rand.NewPCG(7, 1)), due: make(map[clock.Millis][]func()),
		fleet: fleet.New(fleet.DefaultOptions()), free: make(map[string][]float64), progress: make(map[string]int),
	}
	for i, id := range []string{"p0", "p1"} {
		replay.free[id] = make([]float64, slots)
		replay.fleet.Put(platformapi.Server{ID: id, Service: "records", Slots: slots}, int64(i+1))
	}
	for range daemons {
		replay.daemons = append(replay.daemons, &daemon{inflight.New(), choose.NewLoadAverage(), shed.New(options, goal), retryafter.New(retryafter.DefaultOptions()), 0, 0})
	}
	for next := 0.0; replay.now < overload+span; replay.now++ {
		for _, do := range replay.due[replay.now] {
			do()
		}
		if replay.now%reportEvery == 0 {
			replay.report()
		}
		for ; next <= float64(replay.now); next += replay.random.ExpFloat64() * 1000 / (rate * capacity) {
			if replay.now >= overload || replay.random.Float64() <= 0.6/rate {
				replay.request(false)
			}
		}
	}
	return replay
}

func (replay *replay) after(wait clock.Millis, do func()) {
	replay.due[replay.now+wait] = append(replay.due[replay.now+wait], do)
}

// report gives all daemons the present counts, which arrive late.
func (replay *replay) report() {
	sums := make(map[string]inflight.Sum)
	for id, runs := range replay.progress {
		sums[id] = inflight.Sum{Load: inflight.Load{Runs: runs}}
	}
	replay.after(choose.CountsAge, func() {
		for _, daemon := range replay.daemons {
			daemon.work.SetHubSums(sums)
			daemon.service.Observe(start+replay.now, replay.view(daemon))
		}
		if replay.now > overload+2*clock.Second {
			replay.shares = append(replay.shares, replay.daemons[0].service.Share())
		}
	})
}

func (replay *replay) view(daemon *daemon) shed.View {
	return shed.NewView(start+replay.now, choose.HealthyServers(start+replay.now, "records", replay.fleet), daemon.work, nil)
}

// request has a daemon decide on a request. A caller that is refused retries once.
func (replay *replay) request(retried bool) {
	daemon, hash := replay.daemons[replay.random.IntN(daemons)], replay.random.Uint64()
	daemon.service.Arrived(0)
	decision := daemon.service.Decide(start+replay.now, replay.view(daemon), shed.Request{Hash: hash})
	wait, count := defaultRetry, &replay.declined
	daemon.arrivals++
	if decision.Refused {
		daemon.refused++
		wait, _ = daemon.promises.Promise(start+replay.now, "records", decision.Refusal(0, hash, 1.0/daemons))
		count = &replay.refused
	} else if replay.send(daemon, hash) {
		return
	}
	if !retried {
		replay.after(wait, func() { replay.request(true) })
	} else if replay.now >= overload {
		*count += unit
	}
}

// send sends a request to a server, and reports false if all servers decline it.
func (replay *replay) send(daemon *daemon, hash uint64) bool {
	query := choose.Query{Now: start + replay.now, Service: "records", Attempt: xxhash.Sum64String(fmt.Sprint(hash)), ManyDaemons: true, Short: daemon.average}
	for id, runs := range replay.progress {
		if runs >= slots+queue {
			query.Tried = append(query.Tried, id)
		}
	}
	choice, ok := choose.DefaultWeights().Choose(query, 0, replay.fleet, daemon.work)
	if !ok {
		return false
	}
	began, use, free := replay.now, inflight.Use{Server: choice.Member.ID}, replay.free[choice.Member.ID]
	slot := slices.Index(free, slices.Min(free))
	free[slot] = max(float64(began), free[slot]) + work*math.Exp(replay.deviation*replay.random.NormFloat64()-replay.deviation*replay.deviation/2)
	took := free[slot] - float64(began) + travel
	replay.progress[use.Server]++
	daemon.work.Begin(use, 0)
	replay.after(clock.Millis(math.Ceil(took-travel)), func() { replay.progress[use.Server]-- })
	replay.after(clock.Millis(math.Ceil(took)), func() {
		daemon.work.End(use, 0)
		daemon.service.RecordAnswer(clock.Millis(took * replay.timeError))
		if began >= overload && took <= float64(goal) {
			replay.onTime += unit
		} else if began >= overload {
			replay.late += unit
		}
	})
	return true
}

// swing returns the 5th and 95th percentile of the share that the first daemon refuses, and the
// standard deviation of the shares of requests that the daemons have refused.
func (replay *replay) swing() (low, high, spread float64) {
	sum, squares := 0.0, 0.0
	for _, daemon := range replay.daemons {
		share := daemon.refused / max(1, daemon.arrivals)
		sum, squares = sum+share, squares+share*share
	}
	shares := slices.Sorted(slices.Values(replay.shares))
	return shares[len(shares)/20], shares[len(shares)*19/20], math.Sqrt(max(0, squares/daemons-sum*sum/daemons/daemons))
}

func (replay *replay) String() string {
	low, high, spread := replay.swing()
	return fmt.Sprintf("on time %.3f, late %.3f, refused %.3f, declined %.3f; share %.2f to %.2f; spread %.3f",
		replay.onTime, replay.late, replay.refused, replay.declined, low, high, spread)
}

// TestReplay guards against refusals without overload, against an overload that makes all answers
// late or leaves servers idle, against a share that oscillates as the counts are late, and against
// daemons that refuse much more than others. Times measured wrongly by a factor of 2 must not make
// an overload worse than it is without load shedding.
func TestReplay(t *testing.T) {
	for _, test := range []struct{ rate, deviation, timeError float64 }{
		{0.8, 0, 1}, {1.2, 0, 1}, {1.5, 0, 1}, {3, 0, 1}, {0.8, 0.5, 1}, {1.2, 0.5, 1}, {1.5, 0.5, 1}, {3, 0.5, 1}, {1.5, 0.5, 0.5}, {1.5, 0.5, 2},
	} {
		before, after := run(false, test.rate, test.deviation, 1), run(true, test.rate, test.deviation, test.timeError)
		t.Logf("%+v\nbefore: %v\nafter:  %v", test, before, after)
		low, high, spread := after.swing()
		switch {
		case test.rate < 1:
			require.Zero(t, spread, "no daemon refuses anything")
		case test.timeError != 1:
			require.GreaterOrEqual(t, after.onTime, 0.95*before.onTime)
		default:
			require.GreaterOrEqual(t, after.onTime, 0.8)
			require.Less(t, high-low, 0.45, "an oscillating share swings between 0 and 0.9")
			require.Less(t, spread, 0.15)
		}
	}
}
