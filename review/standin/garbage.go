package main

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Size of the case.
const (
	garbleRunners  = 4
	garbledRunners = 2                     // of the runners: 0.5
	garbleEvery    = 50                    // each such answer of these runners is spoiled: 0.02
	garbleSpan     = 5 * time.Second       // for_s
	garbleTimes    = 4                     // it comes several times
	garblePause    = 8 * time.Second       // in between
	streamGap      = 14 * time.Millisecond // between two requests
	linkBytes      = 100_000_000           // a second that a runner sends; LinkMbps is 1000
	memoryLimit    = 284 << 20             // MemoryMb of a daemon
	restartDelay   = 500 * time.Millisecond
	endsToBreak    = 3
)

// runGarbage has some runners answer some requests with bytes that are not a response, and counts how often daemons are ended since they
// exceed their memory.
func runGarbage(record *record, program string, trouble bool) (int, error) {
	zones := []string{"oviedo-a", "oviedo-b"}
	site, err := newSite(record, program, zones...)
	if err != nil {
		return 0, err
	}
	defer site.close()
	garbler := &garbler{record: record}
	for i := range garbleRunners {
		run := runStream
		if i < garbledRunners {
			run = garbler.run
		}
		if _, err := site.addRunner(fmt.Sprintf("i-%d", i+1), engines, zones[i%len(zones)], 64, run); err != nil {
			return 0, err
		}
	}
	site.configure([]route{{
		Name: "contract-review", Host: host, Prefix: "/contract/", Kind: "streaming", TimeoutMs: 15000, LatencyGoalMs: 800, Priority: 2,
		Service: engines, Attempts: 1, Sticky: true, GapAimMs: 300,
	}})
	if err := site.startDaemons([]string{"front-oviedo-a-1", "front-oviedo-b-1"}, zones); err != nil {
		return 0, err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var group sync.WaitGroup
	platform := &memoryKeeper{record: record, program: program, ends: make(map[string]int)}
	for _, daemon := range site.daemons {
		group.Go(func() { platform.keep(ctx, daemon) })
	}
	time.Sleep(4 * time.Second)
	var complete, others atomic.Int64
	group.Go(func() {
		for number := 0; ctx.Err() == nil; number++ {
			daemon := site.daemons[number%len(site.daemons)]
			group.Go(func() {
				if drainStream(ctx, daemon, fmt.Sprintf("%016x", 0xbad0000+number)) {
					complete.Add(1)
				} else if ctx.Err() == nil {
					others.Add(1)
				}
			})
			time.Sleep(streamGap)
		}
	})
	for range garbleTimes {
		garbler.active.Store(trouble)
		time.Sleep(garbleSpan)
		garbler.active.Store(false)
		time.Sleep(garblePause)
	}
	stop()
	group.Wait()
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	machines, ends := 0, 0
	for _, daemon := range site.daemons {
		count := platform.ends[daemon.name]
		record.say("%s was ended %d times for its memory, which was %d MB at its peak", daemon.name, count, platform.peak[daemon.name]>>20)
		ends += count
		if count >= endsToBreak {
			machines++
		}
	}
	record.say("%d answers were spoiled; %d streams were complete, %d were not", garbler.spoiled.Load(), complete.Load(), others.Load())
	if machines < 2 {
		return 0, nil
	}
	return ends, nil
}

// garbler answers as a runner that spoils some answers.
type garbler struct {
	record  *record
	active  atomic.Bool
	answers atomic.Int64
	spoiled atomic.Int64
}

func (garbler *garbler) run(runner *runner, writer http.ResponseWriter, request *http.Request, body []byte) {
	if !garbler.active.Load() || garbler.answers.Add(1)%garbleEvery != 0 {
		runStream(runner, writer, request, body)
		return
	}
	conn, _, err := http.NewResponseController(writer).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	garbler.spoiled.Add(1)
	attempt := request.Header.Get("Attempt-Id")
	garbler.record.add("runner %s answers %s with bytes that are not a response", runner.id, attempt)
	block := []byte(strings.Repeat("\x17\xfe", 50_000))
	began, sent := time.Now(), 0
	for {
		written, err := conn.Write(block)
		sent += written
		if err != nil {
			garbler.record.add("runner %s has sent %d bytes of these for %s in %.2f s: %v", runner.id, sent, attempt, time.Since(began).Seconds(), err)
			return
		}
		ahead := time.Duration(float64(sent)/linkBytes*float64(time.Second)) - time.Since(began)
		if !runner.pause(context.Background(), max(0, ahead)) {
			return
		}
	}
}

// memoryKeeper ends daemons that exceed their memory and starts them again, as the platform does.
type memoryKeeper struct {
	record  *record
	program string
	mutex   sync.Mutex
	ends    map[string]int
	peak    map[string]int
}

// keep looks after a daemon until the context ends.
func (memoryKeeper *memoryKeeper) keep(ctx context.Context, daemon *daemon) {
	for ctx.Err() == nil {
		used := residentBytes(daemon.command.Process.Pid)
		memoryKeeper.mutex.Lock()
		if memoryKeeper.peak == nil {
			memoryKeeper.peak = make(map[string]int)
		}
		memoryKeeper.peak[daemon.name] = max(memoryKeeper.peak[daemon.name], used)
		memoryKeeper.mutex.Unlock()
		if used <= memoryLimit {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		memoryKeeper.record.say("%s takes %d MB and is ended", daemon.name, used>>20)
		_ = daemon.command.Process.Signal(syscall.SIGKILL)
		<-daemon.ended
		memoryKeeper.mutex.Lock()
		memoryKeeper.ends[daemon.name]++
		memoryKeeper.mutex.Unlock()
		time.Sleep(restartDelay)
		if err := daemon.start(memoryKeeper.program); err != nil {
			memoryKeeper.record.say("%s does not start: %v", daemon.name, err)
			return
		}
	}
}

// residentBytes returns the memory that a process has in use, or 0 if it has ended.
func residentBytes(pid int) int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(status)) {
		if text, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kilobytes, _ := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(text), "kB")))
			return kilobytes << 10
		}
	}
	return 0
}

// drainStream sends a request and reads its answer, and reports whether it is a complete stream.
func drainStream(ctx context.Context, daemon *daemon, attempt string) bool {
	ctx, cancel := context.WithTimeout(ctx, 15*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+daemon.front+"/contract/2f", strings.NewReader("contract"))
	if err != nil {
		return false
	}
	request.Host = host
	for name, value := range map[string]string{
		"Attempt-Id": attempt, "Model": baseModel, "Token-Usage": "1460,171", "Prompt-Prefix": "5c1e07a2:210,91bd3f06:140," + attempt[8:] + ":1110",
		"Deadline-Ms": "15000",
	} {
		request.Header.Set(name, value)
	}
	response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}).Do(request)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	events := 0
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "id: ") {
			events++
		}
	}
	return lines.Err() == nil && events == streamEvents
}
