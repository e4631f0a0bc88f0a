package gateway

import (
	"context"
	"net/http"
	"strconv"
	"strings"

	"teaselmoor/internal/direct/upstream"
)

// internalHeaders is the prefix of the headers that daemons exchange. No other answer's headers of such names are passed on.
const internalHeaders = "Teaselmoor-"

// sendHeader is the number of a request to a peer, which the peer's answer bears too.
const sendHeader = internalHeaders + "Send"

// sendToPeer sends a request to the peer at an address, with a body in pieces if there are any.
func (gateway *Gateway) sendToPeer(ctx context.Context, address string, request *http.Request, body [][]byte) (*upstream.Answer, error) {
	name := strconv.FormatInt(gateway.peerSends.Add(1), 10)
	request.Header.Set(sendHeader, name)
	answer, err := gateway.peerPool.Send(ctx, address, upstream.Call{Request: request, Body: body, Name: name, Matches: matchPeerAnswer(name)})
	if err != nil {
		return nil, err
	}
	answer.Header.Del(sendHeader)
	return answer, nil
}

// matchPeerAnswer returns a function that tells whether an answer belongs to the request to a peer with a number. Daemons of earlier
// versions state none.
func matchPeerAnswer(name string) upstream.Matches {
	return func(response *http.Response, first bool) upstream.Match {
		named := response.Header.Get(sendHeader)
		switch {
		case named == name:
			return upstream.ByName
		case named != "":
			return upstream.OtherName
		case first:
			return upstream.ByOrder
		}
		return upstream.Nameless
	}
}

// nameAnswer has the answer to a peer's request bear its number.
func nameAnswer(writer http.ResponseWriter, request *http.Request) {
	if name := request.Header.Get(sendHeader); name != "" {
		writer.Header().Set(sendHeader, name)
		request.Header.Del(sendHeader)
	}
}

// isInternal reports whether only daemons exchange headers of a name.
func isInternal(name string) bool {
	return strings.HasPrefix(name, internalHeaders)
}
