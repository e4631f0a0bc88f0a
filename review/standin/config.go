package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Size of the case.
const (
	idleRoutes     = 1400                  // the dose of big_config of larger deployments; four times that of cpc-enrolment
	stormVersions  = 25                    // the dose of config_storm: a change each 0.06 s for 1.5 s
	stormGap       = 60 * time.Millisecond // its gap_s
	configApply    = 2 * time.Second       // ConfigApplyMs
	probeInterval  = 100 * time.Millisecond
	probesAfterAck = 30 * time.Second
)

// The services that the watched routes lead to.
const (
	formerService = "registro"
	latterService = "registro-2"
)

// runConfig has the operator write a large configuration many times in quick succession, and checks that requests sent
// later than ConfigApplyMs after the acknowledgement of the last version are handled as it says.
func runConfig(record *record, program string, trouble bool) (int, error) {
	zones := []string{"oviedo-a", "oviedo-b", "santander"}
	site, err := newSite(record, program, zones...)
	if err != nil {
		return 0, err
	}
	defer site.close()
	for i := range 4 {
		service := []string{formerService, latterService}[i%2]
		if _, err := site.addRunner(fmt.Sprintf("i-%d", i+1), service, zones[i%len(zones)], 6, runPlain); err != nil {
			return 0, err
		}
	}
	site.configure(configRoutes(0, false))
	if err := site.startDaemons([]string{"front-oviedo-a-1", "front-oviedo-b-1", "front-santander-1"}, zones); err != nil {
		return 0, err
	}
	time.Sleep(4 * time.Second) // all daemons are in touch

	if trouble {
		record.say("%d versions of the configuration, one each %s", stormVersions, stormGap)
		for i := range stormVersions {
			site.configure(configRoutes(i+1, false))
			time.Sleep(stormGap)
		}
	}
	version, _ := site.configure(configRoutes(stormVersions+1, true))
	acknowledged := time.Now()
	record.say("version %d, of %d bytes, is acknowledged", version, site.configBytes)

	var group sync.WaitGroup
	var mutex sync.Mutex
	stale, sent := make(map[string]int), 0
	last := time.Duration(0)
	for index, daemon := range site.daemons {
		group.Go(func() {
			for number := 0; time.Since(acknowledged) < probesAfterAck; number++ {
				since := time.Since(acknowledged)
				verdict := probe(record, daemon, fmt.Sprintf("%04x%012x", index+1, number), number, since)
				mutex.Lock()
				if since > configApply {
					sent++
					if verdict != "" {
						stale[verdict]++
						last = max(last, since)
					}
				}
				mutex.Unlock()
				time.Sleep(probeInterval)
			}
		})
	}
	group.Wait()
	broken := 0
	for verdict, count := range stale {
		record.say("%d times: %s", count, verdict)
		broken += count
	}
	record.say("of %d requests sent later than %s after the acknowledgement %d were handled by an older version, the last %.1f s after it",
		sent, configApply, broken, last.Seconds())
	if sent == 0 {
		return 0, fmt.Errorf("no request was sent")
	}
	return broken, nil
}

// configRoutes returns the routes of a version: three that are watched and many idle ones. The last version moves the first of
// them to another service, drops the second and adds the third.
func configRoutes(change int, last bool) []route {
	plain := func(name, service string) route {
		return route{Name: "r-" + name, Host: host, Prefix: "/" + name + "/", Kind: "idempotent", TimeoutMs: 1200, LatencyGoalMs: 150, Priority: 2, Service: service, Attempts: 2}
	}
	moved, fixed := plain("moved", formerService), plain("dropped", formerService)
	if last {
		moved, fixed = plain("moved", latterService), plain("added", formerService)
	}
	routes := []route{moved, fixed}
	for i := range idleRoutes {
		idle := plain(fmt.Sprintf("idle%04d", i), formerService)
		if i == change {
			idle.TimeoutMs = 1100
		}
		routes = append(routes, idle)
	}
	return routes
}

// runPlain answers a request with the service's name.
func runPlain(runner *runner, writer http.ResponseWriter, request *http.Request, _ []byte) {
	attempt := request.Header.Get("Attempt-Id")
	runner.sign(writer.Header(), attempt)
	_, _ = io.WriteString(writer, runner.service)
}

// probe sends a request on one of the watched routes, and returns in which way an older version handled it; empty: it was
// not, or there is no answer that tells.
func probe(record *record, daemon *daemon, attempt string, number int, since time.Duration) string {
	name := []string{"moved", "dropped", "added"}[number%3]
	ctx, cancel := context.WithTimeout(context.Background(), 2500*time.Millisecond)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+daemon.front+"/"+name+"/1", http.NoBody)
	if err != nil {
		return ""
	}
	request.Host = host
	request.Header.Set("Attempt-Id", attempt)
	request.Header.Set("Deadline-Ms", "2500")
	response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}).Do(request)
	if err != nil {
		record.add("%s: no answer to %s on /%s/: %v", daemon.name, attempt, name, err)
		return ""
	}
	defer func() { _ = response.Body.Close() }()
	body, _ := io.ReadAll(response.Body)
	ran := response.StatusCode == http.StatusOK && response.Header.Get("Response-Stamp") != ""
	record.add("%s: %s on /%s/, sent %.2f s after the acknowledgement: %d %s", daemon.name, attempt, name, since.Seconds(), response.StatusCode,
		strings.TrimSpace(string(body)))
	switch {
	case name == "moved" && ran && string(body) == formerService:
		return "run by the old service"
	case name == "dropped" && ran:
		return "run with a dropped route"
	case name == "added" && response.StatusCode == http.StatusNotFound:
		return "refused with 404 though the route is there"
	}
	return ""
}
