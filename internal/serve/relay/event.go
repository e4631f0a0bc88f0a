package relay

import "strings"

// DoneEvent closes a streamed answer.
const DoneEvent = "data: [DONE]\n\n"

// IsStream reports whether a content type is that of server-sent events.
func IsStream(contentType string) bool {
	return strings.HasPrefix(contentType, "text/event-stream")
}

// AppendEvent adds one payload as a server-sent event.
func AppendEvent(buffer, payload []byte) []byte {
	buffer = append(buffer, "data: "...)
	buffer = append(buffer, payload...)
	return append(buffer, "\n\n"...)
}
