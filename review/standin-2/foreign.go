package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// foreignEntry has another writer put an entry into the store of which most fields are missing. It states the address of a web server that
// is no runner and has no such page. The rule is broken if more requests end with a 404 than it allows.
func foreignEntry(bench *bench) (bool, error) {
	for _, id := range []string{"i-1", "i-2"} {
		if _, err := bench.startRunner(id, records, 30*time.Millisecond, 0); err != nil {
			return false, err
		}
	}
	foreign, err := listenLoopback()
	if err != nil {
		return false, err
	}
	defer func() { _ = foreign.Close() }()
	var visits atomic.Int64
	go func() {
		_ = http.Serve(foreign, http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			visits.Add(1)
			bench.note("the web server that is no runner gets %s %s, attempt %s", request.Method, request.URL.Path, request.Header.Get("Attempt-Id"))
			http.NotFound(writer, request)
		}))
	}()
	bench.store.put("op/config", config(7, route("/puxa403/", "non_idempotent", records, 1200, 1)))
	daemon, err := bench.startOne()
	if err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second) // until the daemon has been in touch for ContactMs
	if bench.trouble {
		entry := map[string]any{"Service": records, "Address": foreign.Addr().String(), "State": "ready"}
		bench.store.put("servers/other-1", entry)
		bench.note("another writer has written servers/other-1: %v", entry)
	}
	total, absent := 0, 0
	var mutex sync.Mutex
	bench.sendPlain(daemon, 4, 8*time.Second, "/puxa403/2f", func(answer answer) {
		mutex.Lock()
		defer mutex.Unlock()
		total++
		if answer.status == http.StatusNotFound {
			absent++
		}
	})
	allowed := 5 + total/500
	bench.note("requests that ended with 404: %d of %d, allowed %d; requests at the web server: %d", absent, total, allowed, visits.Load())
	return absent > allowed, nil
}

// startOne starts a single daemon, and waits until it is ready.
func (bench *bench) startOne() (*daemon, error) {
	daemon := bench.newDaemon(0)
	if err := daemon.writeSettings([]string{daemon.control}, true); err != nil {
		return nil, err
	}
	if err := daemon.start(); err != nil {
		return nil, err
	}
	return daemon, daemon.awaitReady()
}

// sendPlain has clients send requests with short bodies for a time, one after another on new connections.
func (bench *bench) sendPlain(daemon *daemon, clients int, duration time.Duration, path string, record func(answer)) {
	var ended sync.WaitGroup
	for client := range clients {
		ended.Add(1)
		go func() {
			defer ended.Done()
			for number, began := 0, time.Now(); time.Since(began) < duration; number++ {
				attempt := fmt.Sprintf("%x%04x", 0xa0+client, number)
				answer := sendOnce(daemon.front, withLength(requestHead(path, attempt, 2500*time.Millisecond, ""), strings.Repeat("x", 200)), 3*time.Second)
				bench.note("client %d: %s: status %d, whole %v, error %v, %q", client, attempt, answer.status, answer.whole, answer.err, answer.body)
				record(answer)
				time.Sleep(50 * time.Millisecond)
			}
		}()
	}
	ended.Wait()
}
