package main

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Size of the case: streams as on the route trustee-review of the sheet.
const (
	orderRunners  = 6 // of which one crashes: 0.167, the dose of srv_crash is 0.17
	orderStreams  = 36
	streamEvents  = 57
	eventInterval = 35 * time.Millisecond
	crashAfter    = 900 * time.Millisecond
)

// runOrder has a runner crash in the middle of streams that may be resumed, and checks that no event is missing or comes
// twice in a stream that ends as complete.
func runOrder(record *record, program string, trouble bool) (int, error) {
	zones := []string{"oviedo-a", "oviedo-b", "santander"}
	site, err := newSite(record, program, zones...)
	if err != nil {
		return 0, err
	}
	defer site.close()
	for i := range orderRunners {
		if _, err := site.addRunner(fmt.Sprintf("i-%d", i+1), engines, zones[i%len(zones)], 64, runStream); err != nil {
			return 0, err
		}
	}
	site.configure([]route{{
		Name: "trustee-review", Host: host, Prefix: "/trustee/", Kind: "streaming", TimeoutMs: 25000, LatencyGoalMs: 1000, Priority: 1,
		Service: engines, Attempts: 2, Sticky: true, Resumable: true, GapAimMs: 300,
	}})
	if err := site.startDaemons([]string{"front-oviedo-a-1", "front-oviedo-b-1", "front-santander-1"}, zones); err != nil {
		return 0, err
	}
	time.Sleep(5 * time.Second) // owners have been found
	var group sync.WaitGroup
	var mutex sync.Mutex
	broken, complete, cut := 0, 0, 0
	for i := range orderStreams {
		group.Go(func() {
			result := readStream(record, site.daemons[i%len(site.daemons)], fmt.Sprintf("%016x", 0x5eed0000+i))
			mutex.Lock()
			defer mutex.Unlock()
			switch {
			case result.wrong != "":
				broken++
			case result.complete:
				complete++
			default:
				cut++
			}
		})
	}
	if trouble {
		time.Sleep(crashAfter)
		record.say("runner %s crashes", site.runners[0].id)
		site.runners[0].crash()
	}
	group.Wait()
	record.say("%d streams: %d complete and in order, %d broken off, %d with events that are missing or come twice", orderStreams, complete, cut, broken)
	if complete+broken == 0 {
		return 0, fmt.Errorf("no stream was complete")
	}
	return broken, nil
}

// eventText returns the text of an event. The review goes through the rows of a staff list, in an order of its own.
func eventText(event int) string {
	return fmt.Sprintf("contract in order for staff list row id: %d", event*17%streamEvents+1)
}

// runStream answers with a stream of events, from the one after Last-Event-Id on.
func runStream(runner *runner, writer http.ResponseWriter, request *http.Request, _ []byte) {
	attempt, after := request.Header.Get("Attempt-Id"), 0
	if text := request.Header.Get("Last-Event-Id"); text != "" {
		var err error
		if after, err = strconv.Atoi(text); err != nil || after < 0 || after > streamEvents {
			runner.record.add("runner %s refuses %s after event %q", runner.id, attempt, text)
			writer.Header().Set("Not-Executed", "1")
			writer.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	runner.record.add("runner %s runs %s after event %d, Last-Event-Id %q", runner.id, attempt, after, request.Header.Get("Last-Event-Id"))
	runner.sign(writer.Header(), attempt)
	writer.Header().Set("Content-Type", "text/event-stream")
	writer.Header().Set("Weight-Versions", "1")
	control := http.NewResponseController(writer)
	for event := after + 1; event <= streamEvents; event++ {
		if !runner.pause(request.Context(), eventInterval) {
			runner.record.add("runner %s ends %s before event %d", runner.id, attempt, event)
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(writer, "id: %d\ndata: %s\n\n", event, eventText(event))
		_ = control.Flush()
	}
	runner.record.add("runner %s has run %s to its end", runner.id, attempt)
}

// streamResult is what a client has got of a stream.
type streamResult struct {
	complete bool
	wrong    string // what is wrong with its events
}

// readStream sends a request and reads the stream of its answer.
func readStream(record *record, daemon *daemon, attempt string) streamResult {
	ctx, cancel := context.WithTimeout(context.Background(), 25*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+daemon.front+"/trustee/2f", strings.NewReader("contract"))
	if err != nil {
		return streamResult{}
	}
	request.Host = host
	for name, value := range map[string]string{
		"Attempt-Id": attempt, "Model": baseModel, "Token-Usage": "1460,171", "Prompt-Prefix": "5c1e07a2:210,91bd3f06:140," + attempt[8:] + ":1110",
		"Deadline-Ms": "25000",
	} {
		request.Header.Set(name, value)
	}
	record.add("client sends %s to %s", attempt, daemon.name)
	response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}).Do(request)
	if err != nil {
		record.add("client has no answer to %s: %v", attempt, err)
		return streamResult{}
	}
	defer func() { _ = response.Body.Close() }()
	result, last := streamResult{}, 0
	lines := bufio.NewScanner(response.Body)
	var ids []string
	for lines.Scan() {
		text, ok := strings.CutPrefix(lines.Text(), "id: ")
		if !ok {
			if data, isData := strings.CutPrefix(lines.Text(), "data: "); isData && data != eventText(last) {
				result.wrong = fmt.Sprintf("event %d has the text of another one", last)
			}
			continue
		}
		ids = append(ids, text)
		event, err := strconv.Atoi(text)
		if (err != nil || event != last+1) && result.wrong == "" {
			result.wrong = fmt.Sprintf("event %s follows event %d", text, last)
		}
		last = event
	}
	result.complete = lines.Err() == nil && response.StatusCode == http.StatusOK
	if result.complete && last != streamEvents && result.wrong == "" {
		result.wrong = fmt.Sprintf("the stream ends as complete after event %d of %d", last, streamEvents)
	}
	record.add("client has got %d for %s, complete %v, events %s; wrong: %s", response.StatusCode, attempt, result.complete, strings.Join(ids, " "), result.wrong)
	return result
}
