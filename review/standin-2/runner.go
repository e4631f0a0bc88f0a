package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// runner is a runner of a service. It reads requests byte by byte, so that it sees what comes on its connections.
type runner struct {
	bench    *bench
	id       string
	service  string
	born     int64
	listener net.Listener
	work     time.Duration // of a request of a plain service, and of each event of a stream
	events   int           // of a stream; 0: the runner is of a plain service

	mutex    sync.Mutex // guards the fields below
	full     bool       // the runner has no room: it rejects requests
	running  map[string]time.Time
	ran      map[string]int // runs, by attempt
	lastRun  time.Time
	broken   []string             // attempts whose connection ended while they ran
	foreign  []string             // what came where the rest of a body was due
	adapters map[string]time.Time // when the load of each adapter ends
	fence    int64
	orders   []order
	conns    map[net.Conn]bool

	mostAdapters int // that the runner was ordered to hold at a time
}

// head is the head of a request.
type head struct {
	method, path string
	fields       map[string]string // by name in lower case
}

// startRunner starts a runner and writes its entry into the store.
func (bench *bench) startRunner(id, service string, work time.Duration, events int) (*runner, error) {
	listener, err := listenLoopback()
	if err != nil {
		return nil, err
	}
	runner := &runner{
		bench: bench, id: id, service: service, born: time.Now().UnixMilli(), listener: listener, work: work, events: events,
		running: make(map[string]time.Time), ran: make(map[string]int), adapters: make(map[string]time.Time), conns: make(map[net.Conn]bool),
	}
	bench.runners = append(bench.runners, runner)
	bench.store.put("servers/"+id, runner.entry("ready"))
	go runner.accept()
	return runner, nil
}

// entry returns the entry of the runner in the store.
func (runner *runner) entry(state string) map[string]any {
	entry := map[string]any{
		"Service": runner.service, "Address": runner.listener.Addr().String(), "Zone": "oviedo-a", "Version": "v1", "Slots": 6,
		"State": state, "ColdLeftMs": 0, "Sequence": 1, "born": runner.born,
	}
	if runner.events > 0 {
		entry["Slots"], entry["Stage"] = 64, "colocated"
		entry["Models"] = []any{map[string]any{"Name": model, "Version": 1, "Adapters": []string{}}}
	}
	return entry
}

func (runner *runner) close() {
	_ = runner.listener.Close()
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	for conn := range runner.conns {
		_ = conn.Close()
	}
}

func (runner *runner) accept() {
	for {
		conn, err := runner.listener.Accept()
		if err != nil {
			return
		}
		runner.mutex.Lock()
		runner.conns[conn] = true
		runner.mutex.Unlock()
		go runner.serve(conn)
	}
}

// serve serves the requests on a connection, one after another.
func (runner *runner) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		runner.mutex.Lock()
		delete(runner.conns, conn)
		runner.mutex.Unlock()
	}()
	reader := bufio.NewReader(conn)
	for {
		head, err := readHead(reader)
		if err != nil {
			return
		}
		if !runner.answer(conn, reader, head) {
			return
		}
	}
}

// readHead reads the head of a request.
func readHead(reader *bufio.Reader) (head, error) {
	line, err := reader.ReadString('\n')
	if err != nil {
		return head{}, err
	}
	words := strings.Fields(line)
	if len(words) != 3 || words[2] != "HTTP/1.1" {
		return head{}, fmt.Errorf("%q begins no request", line)
	}
	read := head{method: words[0], path: words[1], fields: make(map[string]string)}
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return head{}, err
		}
		line = strings.TrimRight(line, "\r\n")
		if line == "" {
			return read, nil
		}
		name, value, _ := strings.Cut(line, ":")
		read.fields[strings.ToLower(name)] = strings.TrimSpace(value)
	}
}

// foreignError is the error of a body in whose place other bytes come.
type foreignError struct{ text string }

func (err *foreignError) Error() string { return fmt.Sprintf("%q in place of the body", err.text) }

// readBody reads the body of a request to its end.
func readBody(reader *bufio.Reader, head head) ([]byte, error) {
	if !strings.EqualFold(head.fields["transfer-encoding"], "chunked") {
		length, _ := strconv.Atoi(head.fields["content-length"])
		body := make([]byte, length)
		_, err := io.ReadFull(reader, body)
		return body, err
	}
	var body []byte
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return body, err
		}
		size, err := strconv.ParseInt(strings.TrimSpace(line), 16, 32)
		if err != nil {
			return body, &foreignError{strings.TrimRight(line, "\r\n")}
		}
		chunk := make([]byte, size+2)
		if _, err := io.ReadFull(reader, chunk); err != nil {
			return body, err
		}
		if size == 0 {
			return body, nil
		}
		body = append(body, chunk[:size]...)
	}
}

// answer answers a request, and reports whether the connection can be kept.
func (runner *runner) answer(conn net.Conn, reader *bufio.Reader, head head) bool {
	attempt := head.fields["attempt-id"]
	if expected := head.fields["expect-instance"]; expected != "" && expected != runner.id {
		_, err := readBody(reader, head)
		writeAnswer(conn, "421 Misdirected Request", attempt, "Instance-Id: "+runner.id+"\r\n", "")
		return err == nil
	}
	switch head.path {
	case "/report":
		writeAnswer(conn, "200 OK", "", "Content-Type: application/json\r\n", runner.report())
		return true
	case "/order":
		body, err := readBody(reader, head)
		if err == nil {
			writeAnswer(conn, runner.takeOrder(body), "", "", "")
		}
		return err == nil
	}
	runner.mutex.Lock()
	full := runner.full
	runner.mutex.Unlock()
	if full {
		return runner.reject(conn, reader, head)
	}
	body, err := readBody(reader, head)
	if err != nil {
		runner.bench.note("%s: the body of %s does not end: %v", runner.id, attempt, err)
		return false
	}
	return runner.run(conn, attempt, body)
}

// reject rejects a request for which there is no room before its body has been read, keeps the connection, and then reads the body.
func (runner *runner) reject(conn net.Conn, reader *bufio.Reader, head head) bool {
	attempt := head.fields["attempt-id"]
	runner.bench.note("%s has no room for %s: 503, Not-Executed", runner.id, attempt)
	writeAnswer(conn, "503 Service Unavailable", attempt, "Not-Executed: 1\r\n", "")
	_, err := readBody(reader, head)
	if foreign, ok := err.(*foreignError); ok {
		runner.bench.note("%s: where the rest of the body of %s is due comes %q", runner.id, attempt, foreign.text)
		runner.mutex.Lock()
		runner.foreign = append(runner.foreign, foreign.text)
		runner.mutex.Unlock()
	}
	return err == nil
}

// run runs a request and answers it.
func (runner *runner) run(conn net.Conn, attempt string, body []byte) bool {
	runner.mutex.Lock()
	runner.ran[attempt]++
	runner.lastRun = time.Now()
	runner.running[attempt] = time.Now()
	runner.mutex.Unlock()
	runner.bench.note("%s runs %s, with a body of %d bytes", runner.id, attempt, len(body))
	ok := runner.writeRun(conn, attempt)
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	delete(runner.running, attempt)
	if !ok {
		runner.broken = append(runner.broken, attempt)
		runner.bench.note("%s: the connection of %s has ended while it ran", runner.id, attempt)
	}
	return ok
}

// writeRun writes the answer to a request, and reports whether all of it could be written.
func (runner *runner) writeRun(conn net.Conn, attempt string) bool {
	if runner.events == 0 {
		time.Sleep(runner.work)
		return writeAnswer(conn, "200 OK", attempt, "Response-Stamp: "+runner.id+"."+attempt+"\r\nKeep-Alive: timeout=15\r\n", "done "+attempt) == nil
	}
	start := "HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt + "\r\nResponse-Stamp: " + runner.id + "." + attempt + "\r\nWeight-Versions: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	if _, err := io.WriteString(conn, start); err != nil {
		return false
	}
	for event := 1; event <= runner.events; event++ {
		time.Sleep(runner.work)
		text := fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", event, event, attempt)
		if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(text), text); err != nil {
			return false
		}
	}
	_, err := io.WriteString(conn, "0\r\n\r\n")
	return err == nil
}

// writeAnswer writes an answer with a length.
func writeAnswer(conn net.Conn, status, attempt, fields, body string) error {
	if attempt != "" {
		fields += "Attempt-Id: " + attempt + "\r\n"
	}
	_, err := fmt.Fprintf(conn, "HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, fields, len(body), body)
	return err
}

// report returns what the runner says of itself.
func (runner *runner) report() string {
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	held, incoming := []string{}, []string{}
	for adapter, from := range runner.adapters {
		if time.Now().Before(from) {
			incoming = append(incoming, model+"/"+adapter+"@1")
			continue
		}
		held = append(held, adapter+"@1")
	}
	encoded, _ := json.Marshal(map[string]any{
		"born": runner.born, "Stage": "colocated", "Models": []any{map[string]any{"Name": model, "Version": 1, "Adapters": held}}, "Incoming": incoming,
		"Busy": false, "Sequence": len(runner.orders), "Waiting": 0, "Running": len(runner.running), "KvUsed": 0, "KvTotal": 121844, "Handles": 0, "Runs": []any{},
	})
	return string(encoded)
}
