package modelengine

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"time"

	protocol "teaselmoor/internal/backend/engine"
)

// completionRequest is what the stand-in reads of a completion or chat request.
type completionRequest struct {
	Model     string `json:"model"`
	Stream    bool   `json:"stream"`
	MaxTokens int    `json:"max_tokens"`
	Prompt    string `json:"prompt"`
	Messages  []struct {
		Content string `json:"content"`
	} `json:"messages"`
}

// prompt joins what the request asks, for both APIs.
func (asked *completionRequest) prompt() string {
	text := asked.Prompt
	for _, message := range asked.Messages {
		text += message.Content
	}
	return text
}

// completion is an answer or one chunk of it, for both APIs.
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

// admitted checks an order's fencing number and answers a refused one.
func (engine *Engine) admitted(writer http.ResponseWriter, request *http.Request) bool {
	fence, err := strconv.ParseUint(request.Header.Get(protocol.FenceHeader), 10, 64)
	if err == nil && engine.checkFence(fence) {
		return true
	}
	writer.Header().Set(protocol.NotRunHeader, "fenced")
	http.Error(writer, "old fencing number", http.StatusPreconditionFailed)
	return false
}

func (engine *Engine) complete(writer http.ResponseWriter, request *http.Request) {
	if !engine.admitted(writer, request) {
		return
	}
	var asked completionRequest
	if err := json.NewDecoder(request.Body).Decode(&asked); err != nil {
		writer.Header().Set(protocol.NotRunHeader, "malformed")
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	if asked.MaxTokens <= 0 {
		asked.MaxTokens = engine.options.DefaultTokens
	}
	priority, _ := strconv.Atoi(request.Header.Get(protocol.PriorityHeader))
	fence, _ := strconv.ParseUint(request.Header.Get(protocol.FenceHeader), 10, 64)
	started, err := engine.begin(askedRun{
		id: request.Header.Get(protocol.RunHeader), model: asked.Model, prompt: asked.prompt(),
		priority: priority, tokens: asked.MaxTokens, fence: fence,
	})
	if err != nil {
		writer.Header().Set(protocol.NotRunHeader, "not loaded")
		http.Error(writer, err.Error(), http.StatusNotFound)
		return
	}
	chat := strings.HasPrefix(request.URL.Path, "/v1/chat")
	engine.answer(writer, request, started, answerForm{stream: asked.Stream, chat: chat})
}

// answerForm is the shape of an answer that a request asked for.
type answerForm struct {
	stream bool
	chat   bool
	after  int // chunks that the client has already
}

func (engine *Engine) answer(writer http.ResponseWriter, request *http.Request, answered *run, form answerForm) {
	answered.setForm(form)
	writer.Header().Set(protocol.RunHeader, answered.entry.RunID)
	if form.stream {
		engine.stream(writer, request, answered, form)
		return
	}
	for made := 0; ; {
		now, err := answered.wait(request.Context(), made)
		if err != nil {
			return
		}
		made = now.made
		if !now.ended {
			continue
		}
		if !now.whole {
			panic(http.ErrAbortHandler)
		}
		writer.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(writer).Encode(answered.wholeAnswer(form.chat))
		return
	}
}

func (engine *Engine) stream(writer http.ResponseWriter, request *http.Request, answered *run, form answerForm) {
	writer.Header().Set("Content-Type", "text/event-stream")
	writer.WriteHeader(http.StatusOK)
	control := http.NewResponseController(writer)
	_ = control.Flush()
	truncateAfter := engine.Faults().TruncateAfter
	for sent := form.after; ; {
		now, err := answered.wait(request.Context(), sent)
		if err != nil {
			return
		}
		for ; sent < now.made; sent++ {
			if truncateAfter > 0 && sent >= truncateAfter {
				return
			}
			text, err := json.Marshal(answered.chunk(sent, form.chat))
			if err != nil {
				panic(err)
			}
			_, _ = fmt.Fprintf(writer, "data: %s\n\n", text)
		}
		if now.ended {
			if now.whole {
				_, _ = fmt.Fprint(writer, "data: [DONE]\n\n")
			}
			return
		}
		_ = control.Flush()
	}
}

// word is the n-th token of an answer: it names the adapter and the place.
func (run *run) word(at int) string {
	return fmt.Sprintf("%s#%d ", run.entry.Served, at)
}

func (run *run) finish(at int) *string {
	if at+1 < run.tokens {
		return nil
	}
	reason := "stop"
	return &reason
}

func (run *run) chunk(at int, chat bool) completion {
	part := choice{FinishReason: run.finish(at)}
	object := "text_completion"
	if chat {
		object = "chat.completion.chunk"
		part.Delta = &content{Role: "assistant", Content: run.word(at)}
	} else {
		part.Text = run.word(at)
	}
	whole := run.envelope(object, part)
	whole.Padding = run.padding
	return whole
}

func (run *run) envelope(object string, part choice) completion {
	return completion{
		ID: run.entry.RunID, Object: object, Created: time.Now().Unix(), Model: run.entry.Served, Choices: []choice{part},
	}
}

func (run *run) wholeAnswer(chat bool) completion {
	var text strings.Builder
	for at := range run.tokens {
		text.WriteString(run.word(at))
	}
	part := choice{FinishReason: run.finish(run.tokens)}
	object := "text_completion"
	if chat {
		object = "chat.completion"
		part.Message = &content{Role: "assistant", Content: text.String()}
	} else {
		part.Text = text.String()
	}
	whole := run.envelope(object, part)
	whole.Usage = &usage{CompletionTokens: run.tokens, TotalTokens: run.tokens}
	return whole
}

func (engine *Engine) resume(writer http.ResponseWriter, request *http.Request) {
	if !engine.admitted(writer, request) {
		return
	}
	engine.mutex.Lock()
	known, found := engine.runs[request.PathValue("id")]
	engine.mutex.Unlock()
	if !found {
		http.Error(writer, "no such run", http.StatusNotFound)
		return
	}
	form := known.currentForm()
	form.after, _ = strconv.Atoi(request.URL.Query().Get("after"))
	engine.answer(writer, request, known, form)
}

func (engine *Engine) cancel(writer http.ResponseWriter, request *http.Request) {
	if !engine.admitted(writer, request) {
		return
	}
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	id := request.PathValue("id")
	if known, found := engine.runs[id]; found {
		known.abort(Cancelled)
	} else {
		// A run that is cancelled before it arrives must not begin later.
		engine.runs[id] = cancelledRun(id)
	}
	left := engine.order[:0]
	for _, running := range engine.order {
		if running.entry.RunID != id {
			left = append(left, running)
		}
	}
	engine.order = left
}

func (engine *Engine) load(writer http.ResponseWriter, request *http.Request) {
	var order protocol.AdapterOrder
	if !engine.admitted(writer, request) || !decodeOrder(writer, request, &order) {
		return
	}
	if !engine.reserve(order.LoraName) {
		http.Error(writer, "no free slot, or the adapter is being loaded", http.StatusConflict)
		return
	}
	boot := engine.Boot()
	err := engine.fetch(request)
	if engine.takeLoadFault() {
		err = errors.New("load failed on request")
	}
	if err = engine.endLoad(order.LoraName, boot, err); err != nil {
		http.Error(writer, err.Error(), http.StatusInternalServerError)
	}
}

// endLoad fills or frees the slot of a load that began in the given boot.
func (engine *Engine) endLoad(model, boot string, failure error) error {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if engine.boot != boot {
		return errors.New("the engine restarted during the load")
	}
	delete(engine.loading, model)
	if failure == nil {
		engine.loaded[model] = true
	}
	return failure
}

func decodeOrder(writer http.ResponseWriter, request *http.Request, order *protocol.AdapterOrder) bool {
	if err := json.NewDecoder(request.Body).Decode(order); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// reserve takes a slot for a load.
func (engine *Engine) reserve(model string) bool {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if engine.loaded[model] {
		return true
	}
	if engine.loading[model] || len(engine.loaded)+len(engine.loading) >= engine.options.Slots {
		return false
	}
	engine.loading[model] = true
	return true
}

// fetch gets the weights from the store.
func (engine *Engine) fetch(request *http.Request) error {
	if engine.options.StoreURL == "" {
		return nil
	}
	fetch, err := http.NewRequestWithContext(request.Context(), http.MethodGet, engine.options.StoreURL, nil)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(fetch)
	if err != nil {
		return err
	}
	return response.Body.Close()
}

func (engine *Engine) unload(writer http.ResponseWriter, request *http.Request) {
	var order protocol.AdapterOrder
	if !engine.admitted(writer, request) || !decodeOrder(writer, request, &order) {
		return
	}
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if engine.inUse(order.LoraName) {
		if !engine.options.ObeysUnload {
			http.Error(writer, "the adapter is in use", http.StatusConflict)
			return
		}
		engine.violate(order.LoraName)
	}
	delete(engine.loaded, order.LoraName)
}

// timedReport is a state report and when it was true.
type timedReport struct {
	at    time.Time
	state protocol.StateReport
}

// state answers with the youngest report that is at least as old as the lag.
func (engine *Engine) state(writer http.ResponseWriter, _ *http.Request) {
	engine.mutex.Lock()
	now := time.Now()
	engine.reports = append(engine.reports, timedReport{at: now, state: engine.report()})
	chosen := 0
	for i, report := range engine.reports {
		if now.Sub(report.at) >= engine.options.ReportLag {
			chosen = i
		}
	}
	engine.reports = engine.reports[chosen:]
	answer := engine.reports[0].state
	answer.AgeMs = now.Sub(engine.reports[0].at).Milliseconds()
	engine.mutex.Unlock()
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(answer)
}

func (engine *Engine) report() protocol.StateReport {
	report := protocol.StateReport{
		BootID: engine.boot,
		Steps:  protocol.StepTotals{Count: engine.steps, RunsSum: engine.shared, Capacity: engine.options.MaxRuns},
	}
	for model := range engine.loaded {
		report.Loaded = append(report.Loaded, model)
	}
	sort.Strings(report.Loaded)
	for _, running := range engine.order {
		report.Running = append(report.Running, protocol.StateRun{RunID: running.entry.RunID, Model: running.entry.Model})
	}
	return report
}
