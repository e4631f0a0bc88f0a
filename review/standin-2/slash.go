package main

import (
	"sync"
	"time"
)

// The routes before and after the change of the configuration, and the path of the requests. The path goes on after the first prefix with
// an id that has an encoded slash in it, and does not begin with the second prefix.
const (
	firstPrefix  = "/cufi504/"
	addedPrefix  = "/cufi504/fi50/"
	requestPath  = "/cufi504/fi50%2F2f"
	configChange = 4 * time.Second
)

// encodedSlash has a new version of the configuration add a route with a longer prefix, to another service. The rule is broken if requests
// whose path does not begin with that prefix are run by that service.
func encodedSlash(bench *bench) (bool, error) {
	if _, err := bench.startRunner("i-1", records, 30*time.Millisecond, 0); err != nil {
		return false, err
	}
	other, err := bench.startRunner("i-2", "archivo", 30*time.Millisecond, 0)
	if err != nil {
		return false, err
	}
	first := route(firstPrefix, "non_idempotent", records, 1200, 1)
	bench.store.put("op/config", config(7, first))
	daemon, err := bench.startOne()
	if err != nil {
		return false, err
	}
	if bench.trouble {
		time.AfterFunc(configChange, func() {
			bench.store.put("op/config", config(9, first, route(addedPrefix, "non_idempotent", "archivo", 1200, 1)))
			bench.note("version 9 adds a route %s to archivo", addedPrefix)
		})
	}
	var mutex sync.Mutex
	total := 0
	bench.sendPlain(daemon, 2, 10*time.Second, requestPath, func(answer) {
		mutex.Lock()
		defer mutex.Unlock()
		total++
	})
	other.mutex.Lock()
	defer other.mutex.Unlock()
	bench.note("requests for %s run by archivo: %d of %d", requestPath, len(other.ran), total)
	return len(other.ran) > 0, nil
}
