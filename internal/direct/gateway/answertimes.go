package gateway

import (
	"math"
	"sync"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/catalog"
)

// answerTime is the estimate of the time of an answer, in milliseconds.
type answerTime struct {
	mean, deviation float64
}

// answerTimes estimates, for each route, how long an answer takes from when the request is sent to the server that answers until the answer
// is complete or its first event is there, and until it is complete. The zero value is not usable; use newAnswerTimes.
type answerTimes struct {
	mutex   sync.Mutex // guards the fields below
	byRoute map[string]answerTime
	whole   map[string]answerTime // until the answer is complete
}

func newAnswerTimes() *answerTimes {
	return &answerTimes{byRoute: make(map[string]answerTime), whole: make(map[string]answerTime)}
}

const (
	// answerTimeWeight is the weight of a single answer in the estimate.
	answerTimeWeight = 0.05
	// answerTimeDeviations is the number of mean deviations above the mean within which most answers come.
	answerTimeDeviations = 4
	// maxAnswerShare bounds the estimate by a share of the route's time-out, so that a route whose answers come close to it is served too.
	maxAnswerShare = 0.5
)

// record records how long a successful answer took until it was complete or its first event was there, and until it was complete.
func (answerTimes *answerTimes) record(route *catalog.Route, first, whole clock.Millis) {
	answerTimes.mutex.Lock()
	defer answerTimes.mutex.Unlock()
	observe(answerTimes.byRoute, route.Name, first)
	observe(answerTimes.whole, route.Name, whole)
}

// observe adds a time to the estimate of a route.
func observe(byRoute map[string]answerTime, route string, took clock.Millis) {
	former, known := byRoute[route]
	if !known && len(byRoute) >= maxSeries {
		clear(byRoute) // routes of earlier configurations, most of them
	}
	if !known {
		former = answerTime{mean: float64(took)}
	}
	difference := float64(took) - former.mean
	byRoute[route] = answerTime{
		mean:      former.mean + answerTimeWeight*difference,
		deviation: former.deviation + answerTimeWeight*(math.Abs(difference)-former.deviation),
	}
}

// most returns the time within which most answers come.
func (answerTime answerTime) most() clock.Millis {
	return clock.Millis(answerTime.mean + answerTimeDeviations*answerTime.deviation)
}

// expected returns the time within which most answers on a route come. Without an answer so far they are taken to meet the route's goal.
func (answerTimes *answerTimes) expected(route *catalog.Route) clock.Millis {
	answerTimes.mutex.Lock()
	defer answerTimes.mutex.Unlock()
	expected := route.Goal
	if known, ok := answerTimes.byRoute[route.Name]; ok {
		expected = known.most()
	}
	if route.Timeout > 0 {
		expected = min(expected, clock.Millis(maxAnswerShare*float64(route.Timeout)))
	}
	return expected
}

// expectedWhole returns the time within which most answers on a route are complete. It returns false without an answer so far.
func (answerTimes *answerTimes) expectedWhole(route *catalog.Route) (clock.Millis, bool) {
	answerTimes.mutex.Lock()
	defer answerTimes.mutex.Unlock()
	known, ok := answerTimes.whole[route.Name]
	return known.most(), ok
}

// recordAnswerTime records how long the answer to a request took that ends with a success.
func (gateway *Gateway) recordAnswerTime(job *job, ended clock.Millis) {
	if job.progress.lastSent == 0 {
		return
	}
	first := ended
	if job.stream.FirstAt > 0 {
		first = job.stream.FirstAt
	}
	gateway.answerTimes.record(job.route, first-job.progress.lastSent, ended-job.progress.lastSent)
}
