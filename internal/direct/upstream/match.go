package upstream

import (
	"maps"
	"net/http"

	"github.com/pkg/errors"
)

// Match says whether a response belongs to a request, and how that is known.
type Match string

// Results of matching a response with a request.
const (
	ByName    Match = "name"       // it is the request's, as it bears the name of it, which was sent on this connection only once
	ByOrder   Match = "order"      // it is the request's, as it is the first one on the connection, and bears no name
	ByTurn    Match = "turn"       // it is the request's if it bears no name as others do, and no other response follows it
	OtherName Match = "other name" // it is another request's, by its name
	Nameless  Match = "nameless"   // it is another request's, as it bears no name and is not the first one
)

// belongs reports whether the response is the request's.
func (match Match) belongs() bool {
	return match == ByName || match == ByOrder || match == ByTurn
}

// Matches returns whether a response belongs to the request. First is true for the first response on a connection on which nothing
// else was sent.
type Matches func(response *http.Response, first bool) Match

// Strays returns how many responses were skipped so far, by how it was known that they belong to other requests.
func (pool *Pool) Strays() map[Match]int64 {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	return maps.Clone(pool.strays)
}

// recordStray counts a response that is skipped.
func (pool *Pool) recordStray(match Match) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.strays[match]++
}

// readAnswer reads responses until one belongs to the request that was sent last, and skips those to other requests before it.
func (pool *Pool) readAnswer(used *conn, request *http.Request, matches Matches) (*http.Response, Match, error) {
	first := used.requests == 1
	used.heads.begin(pool.options.HeadBytes)
	for used.skipped = 0; ; used.skipped++ {
		response, err := used.readResponse(request)
		if err != nil {
			return nil, "", errors.Wrap(err, "read answer")
		}
		if response.StatusCode/100 == 1 {
			used.skipped--
			used.heads.inHead = true // what is left of the limit holds for all heads
			continue
		}
		match := matches(response, first && used.skipped == 0)
		if match.belongs() {
			return response, match, nil
		}
		pool.recordStray(match)
		if err := pool.skipUnmatched(response, used.skipped); err != nil {
			return nil, "", err
		}
		used.heads.begin(pool.options.HeadBytes)
	}
}

// skipUnmatched discards a response to another request, as the one to this request may follow.
func (pool *Pool) skipUnmatched(response *http.Response, skipped int) error {
	if skipped >= pool.options.MaxStrays || response.Close || response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		return errors.New("response belongs to another request")
	}
	return errors.Wrap(discard(response.Body, pool.options.StrayBytes), "skip the answer to another request")
}
