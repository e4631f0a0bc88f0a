package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

// emptyChunkedBody has clients send bodies with a length and in chunks, some of them empty, to a service that has no room for a while. A
// runner without room rejects a request before its body has been read, keeps the connection and reads the body later. The rule is broken
// if other bytes come where the rest of a body is due.
func emptyChunkedBody(bench *bench) (bool, error) {
	runner, err := bench.startRunner("i-1", records, 30*time.Millisecond, 0)
	if err != nil {
		return false, err
	}
	bench.store.put("op/config", config(7, route("/puxa403/", "non_idempotent", records, 1200, 1)))
	daemon := bench.newDaemon(0)
	if err := daemon.writeSettings([]string{daemon.control}, true); err != nil {
		return false, err
	}
	if err := daemon.start(); err != nil {
		return false, err
	}
	if err := daemon.awaitReady(); err != nil {
		return false, err
	}
	if bench.trouble {
		go func() {
			time.Sleep(3 * time.Second)
			runner.setFull(true)
			time.Sleep(4 * time.Second)
			runner.setFull(false)
		}()
	}
	const clients = 6
	var ended sync.WaitGroup
	for number := range clients {
		ended.Add(1)
		go func() { defer ended.Done(); sendBodies(bench, daemon, number) }()
	}
	ended.Wait()
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	bench.note("bodies in whose place other bytes came: %d", len(runner.foreign))
	return len(runner.foreign) > 0, nil
}

// setFull says whether the runner has no room.
func (runner *runner) setFull(full bool) {
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	runner.full = full
	runner.bench.note("%s has room: %v", runner.id, !full)
}

// sendBodies sends the requests of one client, one after another on new connections. Each third client has nothing to say in its bodies.
func sendBodies(bench *bench, daemon *daemon, client int) {
	time.Sleep(time.Duration(client) * 20 * time.Millisecond)
	for number, began := 0, time.Now(); time.Since(began) < 10*time.Second; number++ {
		attempt := fmt.Sprintf("%x%04x", 0xc0+client, number)
		head := requestHead("/puxa403/2f", attempt, 2500*time.Millisecond, "")
		body, text, kind := strings.Repeat("x", 200), "", "with a length"
		switch client % 3 {
		case 0:
			text = withLength(head, body)
		case 1:
			text, kind = inChunks(head, body), "in chunks"
		case 2:
			text, kind = inChunks(head, ""), "in chunks, empty"
		}
		answer := sendOnce(daemon.front, text, 3*time.Second)
		bench.note("client %d: %s, body %s: status %d, whole %v, error %v", client, attempt, kind, answer.status, answer.whole, answer.err)
		time.Sleep(100 * time.Millisecond)
	}
}

// sendOnce sends a request on a new connection.
func sendOnce(address, text string, timeout time.Duration) answer {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = conn.Close() }()
	if _, err := conn.Write([]byte(text)); err != nil {
		return answer{err: err}
	}
	return readAnswer(conn, bufio.NewReader(conn), "POST", timeout)
}
