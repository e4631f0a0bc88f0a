package gateway

import (
	"net/http"
	"net/url"
	"strconv"

	"teaselmoor/internal/direct/software"
	"teaselmoor/internal/direct/upstream"
)

// originHeader is the header between a daemon and the peer that it sends a request to with the origin of the stream: in
// the request if the stream is resumed, otherwise in the answer.
const originHeader = "Teaselmoor-Origin"

// Fields of originHeader.
const (
	originVersion = "version"
	originServer  = "server"
	originBorn    = "born"
	originUnnamed = "unnamed"
)

// formatOrigin returns the text of an origin in originHeader.
func formatOrigin(origin software.Origin) string {
	return url.Values{
		originVersion: {origin.Version}, originServer: {origin.Server}, originBorn: {strconv.FormatInt(origin.StartedAt, 10)},
		originUnnamed: {strconv.FormatBool(origin.Unnamed)},
	}.Encode()
}

// takeOrigin parses and removes originHeader. It returns false if the header is absent or has another form.
func takeOrigin(header http.Header) (software.Origin, bool) {
	text := header.Get(originHeader)
	header.Del(originHeader)
	values, err := url.ParseQuery(text)
	if text == "" || err != nil {
		return software.Origin{}, false
	}
	born, err := strconv.ParseInt(values.Get(originBorn), 10, 64)
	if err != nil {
		return software.Origin{}, false
	}
	return software.Origin{
		Version: values.Get(originVersion), Server: values.Get(originServer), StartedAt: born,
		Unnamed: values.Get(originUnnamed) == strconv.FormatBool(true),
	}, true
}

// sendOriginHead adds what has begun a peer's stream to the head of the answer.
func sendOriginHead(writer http.ResponseWriter, job *job) {
	if job.entry != "" && job.originKnown {
		writer.Header().Set(originHeader, formatOrigin(job.origin))
	}
}

// peerAssignment returns the assignment of a request that a peer has answered.
func peerAssignment(peer string, answer *upstream.Answer) assignment {
	origin, _ := takeOrigin(answer.Header)
	return assignment{peer: peer, origin: origin}
}
