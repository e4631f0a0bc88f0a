// Package loopback finds addresses for processes that are told where to listen
// before they start. A port that was free a moment ago may be taken by any
// outgoing connection, so each call draws a loopback IP of its own, on which
// nothing else happens.
package loopback

import (
	"fmt"
	"math/rand/v2"
	"net"

	"github.com/pkg/errors"
)

// Addresses returns that many different IP:port addresses to listen at.
func Addresses(count int) ([]string, error) {
	ip := fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(254), rand.IntN(256), 1+rand.IntN(254))
	addresses := make([]string, 0, count)
	listeners := make([]net.Listener, 0, count)
	defer func() {
		for _, listener := range listeners {
			_ = listener.Close()
		}
	}()
	for range count {
		listener, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, errors.Wrap(err, "find a free port")
		}
		listeners = append(listeners, listener)
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}
