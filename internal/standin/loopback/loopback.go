// Package loopback chooses listen addresses for processes that are given their
// addresses before they start. A port that has been found free on a shared IP
// can be taken by an outgoing connection before the process listens on it, so
// each call of Addresses uses a random loopback IP that nothing else is expected
// to use.
package loopback

import (
	"fmt"
	"math/rand/v2"
	"net"

	"github.com/pkg/errors"
)

// IP returns a random loopback IP.
func IP() string {
	return fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(254), rand.IntN(256), 1+rand.IntN(254))
}

// Addresses returns count distinct IP:port addresses to listen on. All have the
// same IP.
func Addresses(count int) ([]string, error) {
	ip := IP()
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
