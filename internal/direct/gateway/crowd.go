package gateway

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/catalog"
	"teaselmoor/internal/direct/ending"
	"teaselmoor/internal/direct/socket"
)

// crowdWriteTimeout bounds the time in which a refusal is written. It fits into the buffer of a new connection.
const crowdWriteTimeout = time.Second

// crowdGuard refuses requests of new connections while the daemon is crowded. It is used by one goroutine.
type crowdGuard struct {
	gateway *Gateway
	buffer  []byte // for the head of a request
}

func newCrowdGuard(gateway *Gateway) *crowdGuard {
	return &crowdGuard{gateway: gateway, buffer: make([]byte, maxHeaderBytes)}
}

// refuse refuses the request of a new connection if so many wait that it could not be sent in time, and reports whether it has. That
// costs a fraction of the processor time of handing the connection to the HTTP server. A request of which not the whole head is there is
// not refused.
func (crowdGuard *crowdGuard) refuse(conn net.Conn) bool {
	gateway := crowdGuard.gateway
	unread := socket.SinceReceived(conn)
	if unread < notableUnread && !gateway.intake.Congested() {
		return false
	}
	core := gateway.core
	core.mutex.Lock()
	config := core.catalog
	core.mutex.Unlock()
	if config == nil {
		return false
	}
	request, size := crowdGuard.peekRequest(conn)
	if request == nil {
		return false
	}
	job := gateway.crowdedJob(request, unread, config)
	if job == nil {
		return false
	}
	reason := ending.Deadline
	if job.progress.head < job.deadline {
		reason = ending.Crowded
		job.retryAfter = core.crowdedRetryAfter(job.progress.head, job, gateway.intake.Crowd())
	}
	refusal := newRefusal(reason)
	gateway.endRefused(refusal.Header, job, refusal.StatusCode, reason)
	writeRefusal(conn, size, refusal)
	return true
}

// refuseFull refuses the request of a new connection for which there is no room, if a request is there to be read.
func (crowdGuard *crowdGuard) refuseFull(conn net.Conn) {
	request, size := crowdGuard.peekRequest(conn)
	if request == nil {
		return
	}
	refusal := newRefusal(ending.NoRoom)
	crowdGuard.gateway.endRefused(refusal.Header, &job{incoming: request, arrived: crowdGuard.gateway.core.now()}, refusal.StatusCode, ending.NoRoom)
	writeRefusal(conn, size, refusal)
}

// newRefusal returns the answer to a request that is refused before its connection is handed to the HTTP server.
func newRefusal(reason ending.Reason) *http.Response {
	return &http.Response{
		StatusCode: http.StatusServiceUnavailable, ProtoMajor: 1, ProtoMinor: 1, Header: make(http.Header), Close: true,
		Body: io.NopCloser(strings.NewReader(string(reason))), ContentLength: int64(len(reason)),
	}
}

// writeRefusal writes a refusal to a connection on which a number of bytes are there to be read.
func writeRefusal(conn net.Conn, size int, refusal *http.Response) {
	_ = conn.SetDeadline(time.Now().Add(crowdWriteTimeout))
	_, _ = io.CopyN(io.Discard, conn, int64(size)) // with bytes unread, closing the connection would reset it
	_ = refusal.Write(conn)                        // the caller may have disconnected
}

// peekRequest returns the request whose head is there to be read on a connection, and the number of bytes that are there; nil if there is
// no whole head, or none that is a request.
func (crowdGuard *crowdGuard) peekRequest(conn net.Conn) (*http.Request, int) {
	size := socket.Peek(conn, crowdGuard.buffer)
	request, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(crowdGuard.buffer[:size])))
	if err != nil {
		return nil, 0
	}
	return request, size
}

// crowdedJob returns the job of a request that could not be sent in time, or nil if it could, or must not be judged here.
func (gateway *Gateway) crowdedJob(request *http.Request, unread clock.Millis, config *catalog.Catalog) *job {
	headers, err := gateway.protocol.ParseRequest(request)
	if err != nil {
		return nil
	}
	route, ok := config.Match(hostWithoutPort(request.Host), request.URL.Path)
	if !ok {
		return nil
	}
	now := gateway.core.now()
	job := &job{
		incoming: request, headers: headers, route: route, rank: route.Rank, arrived: now - unread, progress: progress{unread: unread, head: now},
		configVersion: config.Version, service: route.Service(headers.Attempt),
	}
	job.deadline = deadlineOf(job)
	if !gateway.intake.TooLate(gateway.intakeRequest(job)) {
		return nil
	}
	return job
}
