package relay

import "strings"

// DoneEvent is the last event of a complete streamed answer.
const DoneEvent = "data: [DONE]\n\n"

// IsStream reports whether contentType is that of server-sent events.
func IsStream(contentType string) bool {
	return strings.HasPrefix(contentType, "text/event-stream")
}

// AppendEvent appends payload to buffer as a server-sent event.
func AppendEvent(buffer, payload []byte) []byte {
	buffer = append(buffer, "data: "...)
	buffer = append(buffer, payload...)
	return append(buffer, "\n\n"...)
}
