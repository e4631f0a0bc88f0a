package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// The course of the case. A runner serves for drain after its entry was removed, and a little longer.
const (
	drain        = 2 * time.Second // DrainMs
	longerServe  = 150 * time.Millisecond
	watchCut     = time.Second
	serviceSize  = 16
	leaveShare   = 4 // a quarter of the runners leaves
	leavePause   = 150 * time.Millisecond
	scaleIns     = 5
	scaleInPause = 8 * time.Second
	plainClients = 24
)

// watchesCut has the store cut watches that have waited for a second. A quarter of the runners leave without reporting that they drain:
// their entries are removed, one after the other, and some seconds later a quarter of the rest. The rule is broken if a request reaches one
// of them later than DrainMs after that.
func watchesCut(bench *bench) (bool, error) {
	for number := range serviceSize {
		if _, err := bench.startRunner(fmt.Sprintf("i-%d", number), records, 30*time.Millisecond, 0); err != nil {
			return false, err
		}
	}
	bench.store.put("op/config", config(7, route("/puxa403/", "non_idempotent", records, 1200, 1)))
	daemon, err := bench.startOne()
	if err != nil {
		return false, err
	}
	if bench.trouble {
		bench.store.cutWatches(watchCut)
	}
	removed := make(map[*runner]time.Time)
	removedAll := make(chan struct{})
	go func() {
		defer close(removedAll)
		left := bench.runners
		for range scaleIns {
			time.Sleep(scaleInPause) // the daemon has been in touch for ContactMs before the first one
			count := len(left) / leaveShare
			for _, runner := range left[:count] {
				removed[runner] = bench.removeEntry(runner)
				time.Sleep(leavePause)
			}
			left = left[count:]
		}
	}()
	var mutex sync.Mutex
	unknown := 0
	bench.sendPlain(daemon, plainClients, scaleIns*scaleInPause+4*time.Second, "/puxa403/2f", func(answer answer) {
		mutex.Lock()
		defer mutex.Unlock()
		if answer.status == http.StatusBadGateway {
			unknown++
		}
	})
	<-removedAll
	late := 0
	for _, runner := range bench.runners[:len(removed)] {
		runner.mutex.Lock()
		after := runner.lastRun.Sub(removed[runner])
		runner.mutex.Unlock()
		bench.note("%s began to run its last request %.3f s after its entry was removed", runner.id, after.Seconds())
		if after > drain {
			late++
		}
	}
	bench.note("watches cut: %d; requests that ended with 502: %d; runners that got requests later than DrainMs: %d of %d", bench.store.cuts, unknown, late, len(removed))
	return late > 0, nil
}

// removeEntry removes the entry of a runner, which ends some time later. It returns when the store accepted that.
func (bench *bench) removeEntry(runner *runner) time.Time {
	bench.store.remove("servers/" + runner.id)
	bench.note("the entry of %s is removed", runner.id)
	time.AfterFunc(drain+longerServe, func() {
		bench.note("%s ends", runner.id)
		runner.close()
	})
	return time.Now()
}
