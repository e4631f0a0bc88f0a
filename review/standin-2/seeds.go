package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// The machines are those of a small site of the users, with its names. The first three are the seeds.
var siteMachines = []string{"front-rabat-a-2", "front-casa-b-1", "front-kenitra-c-1", "front-rabat-a-1", "front-casa-b-3"}

const (
	seedCount    = 3
	adapterSlots = 17
	usedAdapters = 600
	clientCount  = 24
	mostRounds   = 14
	roundTime    = 6500 * time.Millisecond
)

// seedsLost has all machines lose power at the same moment. Those that are the seeds stay down, the others start again together. The
// rule is broken if two of these order a runner with the same fencing token. Machines lose power again until that is seen.
func seedsLost(bench *bench) (bool, error) {
	for number := range 4 {
		if _, err := bench.startRunner(fmt.Sprintf("i-%d", number), engines, 20*time.Millisecond, 20); err != nil {
			return false, err
		}
	}
	bench.store.put("op/config", config(7, route("/lohu930/", "streaming", engines, 15000, 1)))
	rest, seeds, err := bench.startSite()
	if err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var ended sync.WaitGroup
	for client := range clientCount {
		ended.Add(1)
		go func() { defer ended.Done(); bench.streamAdapters(rest[client%len(rest)], client, stop) }()
	}
	time.Sleep(5 * time.Second)
	rounds := mostRounds
	if !bench.trouble {
		rounds = 3
	}
	sameToken := false
	for round := 0; round < rounds && !sameToken; round++ {
		if bench.trouble {
			if err := bench.losePower(rest, seeds); err != nil {
				return false, err
			}
		}
		time.Sleep(roundTime)
		sameToken = bench.hasSameToken()
	}
	close(stop)
	ended.Wait()
	return bench.judgeHolders(), nil
}

// startSite starts the machines of the site. It returns those that are no seeds, and the addresses of the seeds.
func (bench *bench) startSite() (rest []*daemon, seeds []string, err error) {
	for number, name := range siteMachines {
		daemon := bench.newNamedDaemon(number, name)
		if number < seedCount {
			seeds = append(seeds, daemon.control)
		}
	}
	for _, daemon := range bench.daemons {
		if err := daemon.writeSettings(seeds, true); err != nil {
			return nil, nil, err
		}
		if err := daemon.start(); err != nil {
			return nil, nil, err
		}
	}
	rest = bench.daemons[seedCount:]
	for _, daemon := range rest {
		if err := daemon.awaitReady(); err != nil {
			return nil, nil, err
		}
	}
	return rest, seeds, nil
}

// losePower ends all processes at the same moment, and starts those of the given machines again.
func (bench *bench) losePower(rest []*daemon, seeds []string) error {
	bench.note("all machines lose power")
	for _, daemon := range bench.daemons {
		_ = daemon.command.Process.Kill()
	}
	for _, daemon := range bench.daemons {
		daemon.kill()
	}
	time.Sleep(time.Second)
	for _, daemon := range rest {
		if err := daemon.writeSettings(seeds, false); err != nil {
			return err
		}
	}
	for _, daemon := range rest {
		if err := daemon.start(); err != nil {
			return err
		}
	}
	return nil
}

// streamAdapters has a client ask for streams of adapters, one after another, until it is stopped.
func (bench *bench) streamAdapters(daemon *daemon, client int, stop <-chan struct{}) {
	random := rand.New(rand.NewPCG(uint64(client), 2))
	for number := 0; ; number++ {
		select {
		case <-stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
		attempt := fmt.Sprintf("%x%06x", 0xd0+client, number)
		fields := fmt.Sprintf("Model: %s/a%d\r\nToken-Usage: 500,60\r\nPrompt-Prefix: 5c1e07a2:300,e4402b7d:200\r\n", model, 1+random.IntN(usedAdapters))
		conn, err := net.DialTimeout("tcp", daemon.front, time.Second)
		if err != nil {
			continue // the machine is down
		}
		_, err = conn.Write([]byte(withLength(requestHead("/lohu930/2f", attempt, 15*time.Second, fields), "prompt")))
		answer := answer{err: err}
		if err == nil {
			answer = readAnswer(conn, bufio.NewReader(conn), "POST", 15*time.Second)
		}
		_ = conn.Close()
		bench.note("client %d: %s at %s: status %d, complete %v", client, attempt, daemon.name, answer.status, answer.whole)
	}
}

// hasSameToken reports whether two machines have ordered a runner with the same fencing token.
func (bench *bench) hasSameToken() bool {
	for _, runner := range bench.runners {
		runner.mutex.Lock()
		holders := make(map[int64]string) // by token
		for _, order := range runner.orders {
			if holder, ok := holders[order.FenceToken]; ok && holder != order.Holder {
				runner.mutex.Unlock()
				return true
			}
			holders[order.FenceToken] = order.Holder
		}
		runner.mutex.Unlock()
	}
	return false
}

// judgeHolders records what the runners have seen of their holders, and reports whether two of them had the same fencing token.
func (bench *bench) judgeHolders() bool {
	sameToken, turns := 0, 0
	for _, runner := range bench.runners {
		runner.mutex.Lock()
		holders := make(map[int64]string) // by token
		var last order
		for _, order := range runner.orders {
			if holder, ok := holders[order.FenceToken]; ok && holder != order.Holder {
				sameToken++
				bench.note("%s: token %d of %s and of %s, %s", runner.id, order.FenceToken, holder, order.Holder, order.status)
			}
			holders[order.FenceToken] = order.Holder
			if !order.accepted() || !bench.inTouch(order) {
				continue
			}
			if last.Holder != "" && last.Holder != order.Holder && order.at.Sub(last.at) < lease {
				turns++
			}
			last = order
		}
		bench.note("%s: adapters that it was ordered to hold at a time: %d, places: %d", runner.id, runner.mostAdapters, adapterSlots)
		runner.mutex.Unlock()
	}
	bench.note("orders of a holder with the token of another one: %d", sameToken)
	bench.note("accepted orders of a holder less than LeaseMs after one of another holder, both started ContactMs before or earlier (not judged): %d", turns)
	return sameToken > 0
}

// inTouch reports whether the machine that has sent an order had run for ContactMs then.
func (bench *bench) inTouch(order order) bool {
	for _, daemon := range bench.daemons {
		if daemon.name != order.Holder {
			continue
		}
		began := time.Time{}
		for _, at := range daemon.starts {
			if at.Before(order.at) {
				began = at
			}
		}
		return order.at.Sub(began) >= contact
	}
	return false
}
