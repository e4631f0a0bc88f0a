package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// answer is what a client has received.
type answer struct {
	status int // 0: none
	whole  bool
	body   string
	err    error
}

// readAnswer reads the answer to a request.
func readAnswer(conn net.Conn, reader *bufio.Reader, method string, timeout time.Duration) answer {
	_ = conn.SetReadDeadline(time.Now().Add(timeout))
	response, err := http.ReadResponse(reader, &http.Request{Method: method})
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, whole: err == nil, body: string(body), err: err}
}

// requestHead returns the head of a request up to its framing.
func requestHead(path, attempt string, deadline time.Duration, fields string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n%s", path, host, attempt, deadline.Milliseconds(), fields)
}

// withLength returns a request whose body has a length.
func withLength(head, body string) string {
	return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
}

// inChunks returns a request whose body comes in chunks. An empty body has only the last chunk.
func inChunks(head, body string) string {
	text := head + "Transfer-Encoding: chunked\r\n\r\n"
	if body != "" {
		text += fmt.Sprintf("%x\r\n%s\r\n", len(body), body)
	}
	return text + "0\r\n\r\n"
}
