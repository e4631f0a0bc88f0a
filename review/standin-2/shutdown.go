package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The course of the case: when clients begin to send their requests after the SIGTERM, and over which links. The last bytes of a body
// come 4.2 s after the SIGTERM.
const (
	sendAfter     = 200 * time.Millisecond
	bodySize      = 1 << 20
	pieces        = 100
	pieceInterval = 40 * time.Millisecond // 2.1 Mbit/s
)

// A stream takes 3.5 s, and would end within the grace period.
const (
	streamEvents  = 87
	eventInterval = 40 * time.Millisecond
)

// lateInShutdown has a daemon get a SIGTERM. Clients whose links are slow begin to send requests while it is in rotation. The rule is
// broken if the daemon passes a request on to the runner that was sent later than 3 s after the SIGTERM, and ends the connection without a
// complete answer: it may refuse the request, or serve it.
func lateInShutdown(bench *bench) (bool, error) {
	if _, err := bench.startRunner("i-1", engines, eventInterval, streamEvents); err != nil {
		return false, err
	}
	bench.store.put("op/config", config(7, route("/lohu930/", "streaming", engines, 15000, 1)))
	leaving, other := bench.newDaemon(0), bench.newDaemon(1)
	for _, daemon := range bench.daemons {
		if err := daemon.writeSettings([]string{leaving.control, other.control}, true); err != nil {
			return false, err
		}
		if err := daemon.start(); err != nil {
			return false, err
		}
	}
	for _, daemon := range bench.daemons {
		if err := daemon.awaitReady(); err != nil {
			return false, err
		}
	}
	time.Sleep(4 * time.Second) // until the daemons have been in touch for ContactMs
	began := time.Now()
	if bench.trouble {
		leaving.signal(syscall.SIGTERM)
		time.AfterFunc(grace, func() { _ = leaving.command.Process.Kill() })
	}
	go bench.pollReady(leaving, began)
	const clients = 5
	answers := make([]answer, clients)
	var ended sync.WaitGroup
	for number := range clients {
		ended.Add(1)
		go func() {
			defer ended.Done()
			answers[number] = bench.sendSlowly(leaving, number, began)
		}()
	}
	ended.Wait()
	runner := bench.runners[0]
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	lost := 0
	for number, answer := range answers {
		if runner.ran[attemptOf(number)] > 0 && !answer.whole {
			lost++
		}
	}
	bench.note("requests passed on whose connection ended without a complete answer: %d of %d", lost, clients)
	return lost > 0, nil
}

func attemptOf(client int) string { return fmt.Sprintf("9c41d07be2a35f%02x", client) }

// sendSlowly sends a request piece by piece, and reads the answer.
func (bench *bench) sendSlowly(daemon *daemon, client int, began time.Time) answer {
	time.Sleep(time.Until(began.Add(sendAfter + time.Duration(client)*10*time.Millisecond)))
	conn, err := net.DialTimeout("tcp", daemon.front, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = conn.Close() }()
	attempt := attemptOf(client)
	head := requestHead("/lohu930/2f", attempt, 15*time.Second, "Model: "+model+"\r\nToken-Usage: 500,261\r\nPrompt-Prefix: 5c1e07a2:300,e4402b7d:200\r\n")
	text := withLength(head, strings.Repeat("x", bodySize))
	size := (len(text) + pieces - 1) / pieces
	bench.note("client %d begins to send %s, %.3f s after the SIGTERM", client, attempt, time.Since(began).Seconds())
	next := time.Now()
	for sent := 0; sent < len(text); sent += size {
		time.Sleep(time.Until(next))
		next = next.Add(pieceInterval)
		if _, err := conn.Write([]byte(text[sent:min(len(text), sent+size)])); err != nil {
			return answer{err: err}
		}
	}
	bench.note("client %d has sent %s, %.3f s after the SIGTERM", client, attempt, time.Since(began).Seconds())
	answer := readAnswer(conn, bufio.NewReader(conn), "POST", 15*time.Second)
	bench.note("client %d: status %d, complete %v, %d bytes, error %v, %.3f s after the SIGTERM", client, answer.status, answer.whole, len(answer.body), answer.err, time.Since(began).Seconds())
	return answer
}

// pollReady asks a daemon each second whether it is ready, as the platform does.
func (bench *bench) pollReady(daemon *daemon, began time.Time) {
	client := http.Client{Timeout: time.Second}
	for range 6 {
		response, err := client.Get("http://" + daemon.ready + "/ready")
		status := 0
		if err == nil {
			status = response.StatusCode
			_ = response.Body.Close()
		}
		bench.note("%s is asked whether it is ready, %.1f s after the SIGTERM: %d", daemon.name, time.Since(began).Seconds(), status)
		time.Sleep(time.Second)
	}
}
