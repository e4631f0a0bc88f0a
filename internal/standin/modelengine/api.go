package modelengine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"time"

	protocol "teaselmoor/internal/backend/engine"
)

// completionRequest has the fields of a completion or chat request that the stand-in
// reads.
type completionRequest struct {
	Model     string `json:"model"`
	Stream    bool   `json:"stream"`
	MaxTokens int    `json:"max_tokens"`
	Prompt    string `json:"prompt"`
	Messages  []struct {
		Content string `json:"content"`
	} `json:"messages"`
}

// prompt returns the prompt followed by the contents of all messages.
func (request *completionRequest) prompt() string {
	text := request.Prompt
	for _, message := range request.Messages {
		text += message.Content
	}
	return text
}

// completion is an answer or a chunk of a streamed answer, of either API.
type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
	Padding string   `json:"padding,omitempty"`
}

type choice struct {
	Index        int      `json:"index"`
	Text         string   `json:"text,omitempty"`
	Message      *content `json:"message,omitempty"`
	Delta        *content `json:"delta,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type content struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// routes registers the handlers of the API.
func (engine *Engine) routes() {
	engine.mux.HandleFunc("POST /v1/completions", engine.complete)
	engine.mux.HandleFunc("POST /v1/chat/completions", engine.complete)
	engine.mux.HandleFunc("GET "+protocol.RunsPath+"{id}", engine.resume)
	engine.mux.HandleFunc("POST "+protocol.RunsPath+"{id}/cancel", engine.cancel)
	engine.mux.HandleFunc("POST "+protocol.LoadPath, engine.load)
	engine.mux.HandleFunc("POST "+protocol.UnloadPath, engine.unload)
	engine.mux.HandleFunc("GET "+protocol.StatePath, engine.state)
	engine.mux.HandleFunc("GET "+EventsPath, engine.events)
}

// checkFence reports whether the fencing number of an order is accepted, and answers
// the order with an error otherwise.
func (engine *Engine) checkFence(writer http.ResponseWriter, request *http.Request) bool {
	fence, err := strconv.ParseUint(request.Header.Get(protocol.FenceHeader), 10, 64)
	if err == nil && engine.acceptFence(fence) {
		return true
	}
	writer.Header().Set(protocol.NotRunHeader, "fenced")
	http.Error(writer, "old fencing number", http.StatusPreconditionFailed)
	return false
}

// complete starts a run, or finds the one that has been started under the same id, and
// writes its answer.
func (engine *Engine) complete(writer http.ResponseWriter, request *http.Request) {
	if !engine.checkFence(writer, request) {
		return
	}
	var body completionRequest
	if err := json.NewDecoder(request.Body).Decode(&body); err != nil {
		writer.Header().Set(protocol.NotRunHeader, "malformed")
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	if body.MaxTokens <= 0 {
		body.MaxTokens = engine.options.DefaultTokens
	}
	priority, _ := strconv.Atoi(request.Header.Get(protocol.PriorityHeader))
	fence, _ := strconv.ParseUint(request.Header.Get(protocol.FenceHeader), 10, 64)
	started, err := engine.startRun(runRequest{
		id: request.Header.Get(protocol.RunHeader), model: body.Model, prompt: body.prompt(),
		priority: priority, tokens: body.MaxTokens, fence: fence,
	})
	if err != nil {
		writer.Header().Set(protocol.NotRunHeader, "not loaded")
		http.Error(writer, err.Error(), http.StatusNotFound)
		return
	}
	chat := strings.HasPrefix(request.URL.Path, "/v1/chat")
	engine.writeAnswer(writer, request, started, answerFormat{stream: body.Stream, chat: chat})
}

// answerFormat is the format in which an answer is requested.
type answerFormat struct {
	stream bool
	chat   bool
	after  int // number of chunks that the client has received already
}

// writeAnswer writes the answer of a run. An answer that is not streamed is written once
// the run has ended; if the run was aborted, the connection is closed without an answer.
func (engine *Engine) writeAnswer(writer http.ResponseWriter, request *http.Request, run *run, format answerFormat) {
	run.setFormat(format)
	writer.Header().Set(protocol.RunHeader, run.entry.RunID)
	if format.stream {
		engine.streamAnswer(writer, request, run, format)
		return
	}
	for produced := 0; ; {
		progress, err := run.wait(request.Context(), produced)
		if err != nil {
			return
		}
		produced = progress.produced
		if !progress.ended {
			continue
		}
		if !progress.complete {
			panic(http.ErrAbortHandler)
		}
		writer.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(writer).Encode(run.fullAnswer(format.chat))
		return
	}
}

// streamAnswer writes each token as an event when it has been produced, beginning after
// the chunks that the client has. The [DONE] event is written only if the run completes.
func (engine *Engine) streamAnswer(writer http.ResponseWriter, request *http.Request, run *run, format answerFormat) {
	writer.Header().Set("Content-Type", "text/event-stream")
	writer.WriteHeader(http.StatusOK)
	control := http.NewResponseController(writer)
	_ = control.Flush()
	truncateAfter := engine.Faults().TruncateAfter
	for sent := format.after; ; {
		progress, err := run.wait(request.Context(), sent)
		if err != nil {
			return
		}
		for ; sent < progress.produced; sent++ {
			if truncateAfter > 0 && sent >= truncateAfter {
				return
			}
			text, err := json.Marshal(run.chunk(sent, format.chat))
			if err != nil {
				panic(err)
			}
			_, _ = fmt.Fprintf(writer, "data: %s\n\n", text)
		}
		if progress.ended {
			if progress.complete {
				_, _ = fmt.Fprint(writer, "data: [DONE]\n\n")
			}
			return
		}
		_ = control.Flush()
	}
}

// tokenText returns the token at an index of the answer. It names the adapter and the
// index.
func (run *run) tokenText(index int) string {
	return fmt.Sprintf("%s#%d ", run.entry.Served, index)
}

// finishReason returns the finish reason of the chunk at an index: nil before the last
// token.
func (run *run) finishReason(index int) *string {
	if index+1 < run.tokens {
		return nil
	}
	reason := "stop"
	return &reason
}

// chunk returns the chunk of a streamed answer at an index.
func (run *run) chunk(index int, chat bool) completion {
	part := choice{FinishReason: run.finishReason(index)}
	object := "text_completion"
	if chat {
		object = "chat.completion.chunk"
		part.Delta = &content{Role: "assistant", Content: run.tokenText(index)}
	} else {
		part.Text = run.tokenText(index)
	}
	answer := run.newCompletion(object, part)
	answer.Padding = run.padding
	return answer
}

// newCompletion returns a completion of the run with one choice.
func (run *run) newCompletion(object string, onlyChoice choice) completion {
	return completion{
		ID: run.entry.RunID, Object: object, Created: time.Now().Unix(), Model: run.entry.Served, Choices: []choice{onlyChoice},
	}
}

// fullAnswer returns the answer to a request that is not streamed.
func (run *run) fullAnswer(chat bool) completion {
	var text strings.Builder
	for index := range run.tokens {
		text.WriteString(run.tokenText(index))
	}
	part := choice{FinishReason: run.finishReason(run.tokens)}
	object := "text_completion"
	if chat {
		object = "chat.completion"
		part.Message = &content{Role: "assistant", Content: text.String()}
	} else {
		part.Text = text.String()
	}
	answer := run.newCompletion(object, part)
	answer.Usage = &usage{CompletionTokens: run.tokens, TotalTokens: run.tokens}
	return answer
}

// resume writes the answer of a known run from the chunk after those that the client
// has.
func (engine *Engine) resume(writer http.ResponseWriter, request *http.Request) {
	if !engine.checkFence(writer, request) {
		return
	}
	engine.mutex.Lock()
	run, found := engine.runs[request.PathValue("id")]
	engine.mutex.Unlock()
	if !found {
		http.Error(writer, "no such run", http.StatusNotFound)
		return
	}
	format := run.currentFormat()
	format.after, _ = strconv.Atoi(request.URL.Query().Get("after"))
	engine.writeAnswer(writer, request, run, format)
}

// cancel aborts a run, whose id can't be used for another run afterwards.
func (engine *Engine) cancel(writer http.ResponseWriter, request *http.Request) {
	if !engine.checkFence(writer, request) {
		return
	}
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	id := request.PathValue("id")
	if run, found := engine.runs[id]; found {
		run.abort(Cancelled)
	} else {
		// A run that is cancelled before its request arrives must not start later.
		engine.runs[id] = newCancelledRun(id)
	}
	remaining := engine.unfinished[:0]
	for _, running := range engine.unfinished {
		if running.entry.RunID != id {
			remaining = append(remaining, running)
		}
	}
	engine.unfinished = remaining
}

// timedReport is a state report and the time at which it was made.
type timedReport struct {
	madeAt time.Time
	state  protocol.StateReport
}

// state answers with the latest report that is at least as old as Options.ReportLag, or
// with the oldest report while none is.
func (engine *Engine) state(writer http.ResponseWriter, _ *http.Request) {
	engine.mutex.Lock()
	now := time.Now()
	engine.reports = append(engine.reports, timedReport{madeAt: now, state: engine.report()})
	chosen := 0
	for i, report := range engine.reports {
		if now.Sub(report.madeAt) >= engine.options.ReportLag {
			chosen = i
		}
	}
	engine.reports = engine.reports[chosen:]
	answer := engine.reports[0].state
	answer.AgeMs = now.Sub(engine.reports[0].madeAt).Milliseconds()
	engine.mutex.Unlock()
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(answer)
}

// report returns the current state. The caller holds the mutex.
func (engine *Engine) report() protocol.StateReport {
	report := protocol.StateReport{
		BootID: engine.bootID,
		Steps:  protocol.StepTotals{Count: engine.steps, RunsSum: engine.stepRuns, Capacity: engine.options.MaxRuns},
	}
	for model := range engine.loaded {
		report.Loaded = append(report.Loaded, model)
	}
	sort.Strings(report.Loaded)
	for _, running := range engine.unfinished {
		report.Running = append(report.Running, protocol.StateRun{RunID: running.entry.RunID, Model: running.entry.Model})
	}
	return report
}
