// Package platformapi defines the boundary between the gateway and the platform that it runs on:
// types for what the platform sends and expects, and the interfaces that the code for a platform
// implements. It is independent of the platform's formats and makes no decisions.
package platformapi

import (
	"context"
	"net/http"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/catalog"
)

// RequestHeaders holds the values from the headers of a caller's request.
type RequestHeaders struct {
	Attempt         string       // the caller's id of this attempt
	TimeLeft        clock.Millis // time until the caller gives up; 0: unknown
	Model           string
	Adapter         string // empty: the base model
	PromptTokens    int    // number of prompt tokens; 0 for a plain service
	MaxOutputTokens int    // maximum number of output tokens
	Parts           []Part
	LastEventID     string // id of the event after which a stream is to be resumed
	FirstAttempt    string // id of the caller's attempt that brought the first event of that stream; empty: not stated
	AccountKey      string // identifies the caller's account; empty: none
}

// Tokens returns the prompt and output tokens together, 0 if the request states none.
func (requestHeaders RequestHeaders) Tokens() int {
	return requestHeaders.PromptTokens + requestHeaders.MaxOutputTokens
}

// Part is a part of a prompt. Requests with the same first parts can share the engine's cache
// of them.
type Part struct {
	ID     string
	Tokens int
}

// ForwardHeaders holds the values that a daemon adds to a request that it forwards.
type ForwardHeaders struct {
	Server      string // the only server that may run the request; empty: the request is sent to a peer
	TimeLeft    clock.Millis
	Version     int // required version of the adapter; 0: any
	Urgency     int // 0 to 9, 0 is the most urgent; negative: the engine's default
	LastEventID string
	// AccountsListed is true if the configuration lists accounts. The caller's key is then not
	// forwarded, and the server receives Account instead, which is empty for a caller without
	// one.
	AccountsListed bool
	Account        string
}

// AnswerHeaders holds the values from the head of a backend server's answer.
type AnswerHeaders struct {
	Attempt string // the attempt that the answer belongs to; empty: not stated
	NotRun  bool   // the server states that it did not run the request
	Absent  bool   // the server is a different one, or does not hold the model, adapter or version
	Signed  bool   // the answer carries the server's signature
	Leaving bool   // the server announces that it will end soon
	// Pause is how long the server asks this daemon to send no requests; 0: not stated.
	Pause clock.Millis
	// HasBrittle is true if the server ends when it has to turn away more than Brittle requests a second for
	// want of room.
	HasBrittle bool
	Brittle    int
	// HasLimit is true if the server takes no more than Limit requests a second from all daemons
	// together.
	HasLimit bool
	Limit    float64
}

// Protocol converts between HTTP headers and the types of this package.
type Protocol interface {
	// ParseRequest reads the headers of a caller's request.
	ParseRequest(request *http.Request) (RequestHeaders, error)
	// ForwardedHeader returns the headers of a request for forwarding.
	ForwardedHeader(incoming http.Header, added ForwardHeaders) http.Header
	// ParseAnswer reads the head of a backend server's answer.
	ParseAnswer(response *http.Response) AnswerHeaders
	// SetRefusalHeaders sets the headers of a refusal; after is the time until the caller may
	// retry, or 0 if unknown.
	SetRefusalHeaders(header http.Header, after clock.Millis)
}

// Item is an entry of the store.
type Item struct {
	Key       string
	Value     []byte
	Revision  int64 // of its last change
	CreatedAt int64 // revision of its creation; 0: not stated
	Deleted   bool
}

// Page is a page of the store's items or changes.
type Page struct {
	Items []Item
	More  bool  // another page follows, after the last item's key
	AsOf  int64 // the revision of the store that the page reflects
	// Era increases each time the store is restored from an earlier copy, which has lower
	// revisions; 0 if the store does not report it.
	Era int64
}

// Failure classifies why a call of the store failed.
type Failure int

// Failures of calls of the store.
const (
	Unreachable  Failure = iota // no answer, or one that is not from the store
	Unavailable                 // the store did nothing
	TooManyCalls                // the store refused the call for its rate limit
	HistoryGone                 // the requested changes are no longer available
	AnswerCutOff                // the answer is larger than all items are likely to be, and did not arrive whole
)

// StoreError is a failed call of the store.
type StoreError struct {
	Failure Failure
	Err     error
}

// Error implements error.
func (storeError *StoreError) Error() string { return storeError.Err.Error() }

// Unwrap returns the underlying error.
func (storeError *StoreError) Unwrap() error { return storeError.Err }

// Store reads the platform's store. Its errors are of type *StoreError.
type Store interface {
	// Range returns a page of the items whose keys begin with prefix and follow the key after.
	Range(ctx context.Context, prefix, after string) (Page, error)
	// Watch returns the changes after a revision as soon as there are any, or none when wait
	// has passed.
	Watch(ctx context.Context, prefix string, after int64, wait clock.Millis) (Page, error)
}

// StoreHistory reads the history of the platform's store. Its errors are of type *StoreError.
type StoreHistory interface {
	// Changes returns each write and removal of an item whose key begins with prefix, after a revision and in their order. It fails
	// with HistoryGone if the store does not have all of them any more.
	Changes(ctx context.Context, prefix string, after int64) (Page, error)
}

// DecodedItem is the decoded content of an item. Exactly one of its pointers is set.
type DecodedItem struct {
	Catalog        *catalog.Catalog
	Server         *Server
	AdapterVersion *AdapterVersion
}

// Decoder decodes items of the store.
type Decoder interface {
	// Prefix returns the common prefix of all keys that are read.
	Prefix() string
	// Decode returns the content of an item, or an error if it is unusable.
	Decode(item Item) (DecodedItem, error)
	// ConfigKey returns the key of the configuration, which is written before any request is served, and never removed.
	ConfigKey() string
	// ServerPrefix returns the common prefix of the keys of servers.
	ServerPrefix() string
	// ServerID returns the id of the server that a key belongs to, if any.
	ServerID(key string) (string, bool)
	// ServerKey returns the key of a server's entry.
	ServerKey(id string) string
}

// Server is a backend server as it is registered in the store.
type Server struct {
	ID         string
	Service    string
	Address    string
	DataCentre string
	Software   string // version of its software, without an order; empty: unknown
	Slots      int
	Draining   bool
	LeavesIn   clock.Millis // time until the server ends; 0: not announced
	StartedAt  int64        // start of its process in Unix milliseconds; 0: unknown
	Models     []Holding
}

// Process identifies one start of a server, as a server may start again under its id.
type Process struct {
	Server    string
	StartedAt int64 // in Unix milliseconds; 0: not stated
}

// Process returns the process that the entry belongs to.
func (server Server) Process() Process {
	return Process{Server: server.ID, StartedAt: server.StartedAt}
}

// Holding is a base model that a server holds, with its adapters.
type Holding struct {
	Model    string
	Adapters map[string]int // versions by adapter name
}

// Adapter identifies an adapter of a base model.
type Adapter struct {
	Model string
	Name  string
}

// AdapterVersion is the newest version of an adapter that operators have named.
type AdapterVersion struct {
	Adapter Adapter
	Version int
}

// Order is a command to a server to load or unload an adapter, or a base model if the adapter's
// name is empty.
type Order struct {
	Load    bool
	Adapter Adapter
	Version int // to load; 0: the newest
	Owner   string
	Fence   int64
	// HasExpected is true if the server carries out the order only if it has accepted Expected orders before.
	HasExpected bool
	Expected    int64
}

// Result classifies a server's answer to an order.
type Result int

// Results of orders.
const (
	Unknown      Result = iota // no answer; the order may have been accepted
	Accepted                   // the order is being carried out
	NothingToDo                // the server is already in the ordered state
	Conflict                   // another order is in progress, or the server has not accepted as many orders as expected
	Fenced                     // the server has seen a higher fencing number
	InvalidOrder               // the server does not support the order
	WrongServer                // the address belongs to another server
	Doubtful                   // the answer may be one to an earlier order, or that to the order before may have been
)

// String returns the name of a result in the log.
func (result Result) String() string {
	return [...]string{"Unknown", "Accepted", "Holds", "Conflict", "Fenced", "Invalid", "Other", "Doubtful"}[result]
}

// OrderAnswer is a server's answer to an order.
type OrderAnswer struct {
	Result  Result
	Leaving bool // the server announces that it will end soon
}

// Report is a server's state as it was some hundred milliseconds ago.
type Report struct {
	Leaving   bool // the server announces that it will end soon
	StartedAt int64
	Busy      bool  // a model is being loaded or unloaded
	Orders    int64 // that the server has accepted since its start
	Models    []Holding
	Incoming  []Adapter // being loaded
	Runs      []Run
}

// Run is a request that a server works on.
type Run struct {
	Attempt string // the caller's attempt
	Events  int    // that the server has made of its answer
}

// ServerClient sends orders to model engines and reads their reports.
type ServerClient interface {
	// SendOrder sends an order to a server, one at a time. Doubt is called, at any time later, if the result turns out to be Doubtful.
	SendOrder(ctx context.Context, server Server, order Order, doubt func()) (OrderAnswer, error)
	// CloseExpired closes connections that are no longer needed. It is called every second or so.
	CloseExpired()
	ReadReport(ctx context.Context, server Server) (Report, error)
	// ReportRequest returns the request for a server's report.
	ReportRequest(ctx context.Context, server Server) (*http.Request, error)
	// ParseReport reads a server's report.
	ParseReport(response *http.Response) (Report, error)
}
