package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Size of the case.
const (
	versionRunners  = 8
	versionAdapters = 12
	hotAdapters     = 4                // of which new versions are announced
	announceEvery   = 2 * time.Second  // for each of these
	versionClients  = 32               // of 64 slots
	versionLimit    = 5 * time.Second  // version_ms
	contact         = 3 * time.Second  // ContactMs
	killSpan        = 3 * time.Second  // for_s of node_kill
	killPause       = 14 * time.Second // until the next one
	killSeed        = 20261204         // of the clients' draws
	restartPause    = 5 * time.Second  // between the end of a daemon that was stopped and its start
)

// versionCase is what the case counts.
type versionCase struct {
	record   *record
	announce *announcements

	mutex     sync.Mutex
	senders   map[string]sender
	disturbed map[string][]time.Time // by daemon
	begun     int
	late      int // begun too late on an older version, sent by daemons in touch
	lateOut   int // the same, sent by others
	worst     time.Duration
}

// sender is the daemon that a request was sent to, and when.
type sender struct {
	daemon string
	at     time.Time
}

// runVersion kills daemons that give orders while new versions of adapters are announced, and checks that no request begins on an
// older version later than version_ms after a newer one was acknowledged.
func runVersion(record *record, program string, trouble bool) (int, error) {
	zones := []string{"oviedo-a", "oviedo-b", "santander"}
	site, err := newSite(record, program, zones...)
	if err != nil {
		return 0, err
	}
	defer site.close()
	run := &versionCase{
		record: record, announce: &announcements{record: record, store: site.store, acked: make(map[string][]time.Time)},
		senders: make(map[string]sender), disturbed: make(map[string][]time.Time),
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var group sync.WaitGroup
	for i := range versionRunners {
		runner, err := startVersionRunner(record, site.ip, fmt.Sprintf("i-%d", i+1), run.announce, run.began)
		if err != nil {
			return 0, err
		}
		defer func() { _ = runner.server.Close() }()
		zone := zones[i%len(zones)]
		site.store.put("servers/"+runner.id, runner.entry(zone, 0))
		group.Go(func() {
			for sequence := 1; wait(ctx, heartbeat); sequence++ {
				site.store.put("servers/"+runner.id, runner.entry(zone, sequence))
			}
		})
	}
	for number := range versionAdapters {
		run.announce.add(adapterName(number))
	}
	site.configure([]route{{
		Name: "notice-draft", Host: host, Prefix: "/notice/", Kind: "streaming", TimeoutMs: 8000, LatencyGoalMs: 600, Service: engines, Attempts: 1,
		Sticky: true, GapAimMs: 300,
	}})
	names := []string{"front-oviedo-a-1", "front-oviedo-b-1", "front-santander-1"}
	if err := site.startDaemons(names, zones); err != nil {
		return 0, err
	}
	time.Sleep(4 * time.Second)
	// Planned work, with and without the disruption: a daemon is stopped and started again, and others take its runners over.
	restarted, others := site.daemons[1], []*daemon{site.daemons[0], site.daemons[2]}
	_ = restarted.command.Process.Signal(syscall.SIGTERM)
	<-restarted.ended
	time.Sleep(restartPause)
	if err := restarted.start(program); err != nil {
		return 0, err
	}
	time.Sleep(4 * time.Second)
	for i := range versionClients {
		group.Go(func() { run.client(ctx, site, i) })
	}
	group.Go(func() {
		for number := 0; wait(ctx, announceEvery/hotAdapters); number++ {
			run.announce.add(adapterName(number % hotAdapters))
		}
	})
	time.Sleep(4 * time.Second)
	for _, daemon := range others {
		if trouble {
			run.disturb(daemon.name)
			record.say("%s is killed", daemon.name)
			_ = daemon.command.Process.Signal(syscall.SIGKILL)
			<-daemon.ended
		}
		time.Sleep(killSpan)
		if trouble {
			run.disturb(daemon.name)
			if err := daemon.start(program); err != nil {
				return 0, err
			}
		}
		time.Sleep(killPause)
	}
	stop()
	group.Wait()
	run.mutex.Lock()
	defer run.mutex.Unlock()
	record.say("%d requests have begun, at worst %.2f s after a newer version was acknowledged; too late %d sent by daemons in touch, %d by others",
		run.begun, run.worst.Seconds(), run.late, run.lateOut)
	if run.begun == 0 {
		return 0, fmt.Errorf("no request was run")
	}
	return run.late, nil
}

func adapterName(number int) string { return fmt.Sprintf("a%d", number+1) }

// wait waits, and reports false if the context has ended.
func wait(ctx context.Context, span time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(span):
		return true
	}
}

// disturb records that a daemon was killed or started.
func (versionCase *versionCase) disturb(daemon string) {
	versionCase.mutex.Lock()
	defer versionCase.mutex.Unlock()
	versionCase.disturbed[daemon] = append(versionCase.disturbed[daemon], time.Now())
}

// began records that a runner has begun a request on a version of its adapter.
func (versionCase *versionCase) began(runner, attempt, adapter string, version int) {
	outdated := versionCase.announce.outdatedFor(adapter, version)
	versionCase.mutex.Lock()
	defer versionCase.mutex.Unlock()
	versionCase.begun++
	versionCase.worst = max(versionCase.worst, outdated)
	if outdated <= versionLimit {
		return
	}
	sender := versionCase.senders[attempt]
	for _, at := range versionCase.disturbed[sender.daemon] {
		if at.After(sender.at.Add(-contact)) {
			versionCase.lateOut++
			return
		}
	}
	versionCase.late++
	versionCase.record.add("%s, sent by %s %.2f s ago, begins at %s on %s@%d, %.2f s after the next version was acknowledged", attempt, sender.daemon,
		time.Since(sender.at).Seconds(), runner, adapter, version, outdated.Seconds())
}

// client sends requests one after another.
func (versionCase *versionCase) client(ctx context.Context, site *site, index int) {
	random := rand.New(rand.NewPCG(killSeed, uint64(index)))
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	for number := 0; ctx.Err() == nil; number++ {
		daemon := site.daemons[random.IntN(len(site.daemons))]
		attempt := fmt.Sprintf("%04x%012x", index+1, number)
		versionCase.mutex.Lock()
		versionCase.senders[attempt] = sender{daemon: daemon.name, at: time.Now()}
		versionCase.mutex.Unlock()
		adapters := versionAdapters
		if random.IntN(2) == 0 {
			adapters = hotAdapters // half of the requests, and a share of the others, are for these
		}
		if !send(ctx, transport, daemon, attempt, adapterName(random.IntN(adapters))) {
			wait(ctx, 100*time.Millisecond)
		}
	}
}

// send sends a request and reads its answer, and reports whether it was served. The client leaves if its first event does not
// come within four times the objective.
func send(ctx context.Context, transport *http.Transport, daemon *daemon, attempt, adapter string) bool {
	ctx, cancel := context.WithTimeout(ctx, 8*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+daemon.front+"/notice/2f", strings.NewReader("notice"))
	if err != nil {
		return false
	}
	request.Host = host
	for name, value := range map[string]string{
		"Attempt-Id": attempt, "Model": baseModel + "/" + adapter, "Token-Usage": "646,69", "Prompt-Prefix": "5c1e07a2:93,91bd3f06:62," + attempt[8:] + ":491",
		"Deadline-Ms": "8000",
	} {
		request.Header.Set(name, value)
	}
	leave := time.AfterFunc(2400*time.Millisecond, cancel)
	defer leave.Stop()
	response, err := (&http.Client{Transport: transport}).Do(request)
	if err != nil {
		return false
	}
	leave.Stop()
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return err == nil && response.StatusCode == http.StatusOK
}
