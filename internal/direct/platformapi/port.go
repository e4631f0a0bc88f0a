// Package platformapi is the boundary between the direct way of serving and the
// platform that it runs on: values that say what the platform says, in the
// project's words, and the interfaces that an adapter for a platform implements.
// Nothing here decides.
package platformapi

import (
	"context"
	"net/http"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/catalog"
)

// RequestHeaders is what the headers of a caller's request say.
type RequestHeaders struct {
	Attempt         string       // the caller's id of this attempt
	TimeLeft        clock.Millis // how long the caller waits; 0 means that it did not say
	Model           string
	Adapter         string // empty for the base model
	PromptTokens    int    // prompt tokens; 0 for a plain service
	MaxOutputTokens int    // most output tokens
	Parts           []Part
	LastEventID     string // the event after which a resumed stream goes on
	AccountKey      string // names the caller's account; empty when there is none
}

// Tokens returns prompt and output together, 0 for a request that names none.
func (requestHeaders RequestHeaders) Tokens() int {
	return requestHeaders.PromptTokens + requestHeaders.MaxOutputTokens
}

// Part is one part of a prompt. Requests that share their first parts share
// what an engine has cached of them.
type Part struct {
	ID     string
	Tokens int
}

// ForwardHeaders is what a daemon adds to a request that it passes on.
type ForwardHeaders struct {
	Server      string // the only server that may run it
	TimeLeft    clock.Millis
	Version     int // of the adapter that must run it; 0 means any
	Urgency     int // 0 to 9, 0 first; negative means the engine's default
	LastEventID string
	// AccountsListed tells that the configuration lists accounts: the key stays here, and the
	// server is told Account, which is empty for a caller without one.
	AccountsListed bool
	Account        string
}

// AnswerHeaders is what the head of a backend server's answer says.
type AnswerHeaders struct {
	Attempt string // the attempt that it answers; empty when it does not say
	NotRun  bool   // the server states that it did not run the request
	Absent  bool   // the server is another one, or does not hold model, adapter or version
	Signed  bool   // the server's signature is there
	Leaving bool   // the server says that it will end soon
	// Pause is how long the server wants nothing from this daemon; 0 where it does not say.
	Pause clock.Millis
	// HasLimit tells that the server takes no more than Limit requests a second from all
	// daemons together.
	HasLimit bool
	Limit    float64
}

// Protocol translates requests and answers.
type Protocol interface {
	// ParseRequest reads the headers of a caller's request.
	ParseRequest(request *http.Request) (RequestHeaders, error)
	// ForwardedHeader returns the headers of a request as it is passed on.
	ForwardedHeader(incoming http.Header, sending ForwardHeaders) http.Header
	// ParseAnswer reads the head of a backend server's answer.
	ParseAnswer(response *http.Response) AnswerHeaders
	// SetRefusalHeaders sets the headers of a refusal; after is 0 when there is nothing
	// to say on when to come back.
	SetRefusalHeaders(header http.Header, after clock.Millis)
}

// Item is an entry of the store.
type Item struct {
	Key      string
	Value    []byte
	Revision int64
	Deleted  bool
}

// Page is an answer of the store.
type Page struct {
	Items []Item
	More  bool  // another page begins after the last item's key
	AsOf  int64 // the store's revision
	// Era rises each time the store comes back from a copy of some time before, which has
	// lower revisions; 0 where it does not say.
	Era int64
}

// Failure says why the store did not answer as asked.
type Failure int

// Failures of the store.
const (
	Unreachable  Failure = iota // no answer, or not one of the store
	Unavailable                 // nothing was done
	TooManyCalls                // too many calls
	HistoryGone                 // the changes asked for are no longer available
)

// StoreError is a failed call of the store.
type StoreError struct {
	Failure Failure
	Err     error
}

// Error implements error.
func (failed *StoreError) Error() string { return failed.Err.Error() }

// Unwrap returns the cause.
func (failed *StoreError) Unwrap() error { return failed.Err }

// Store reads the platform's store. Errors are *StoreError.
type Store interface {
	// Range returns a page of the items that begin with prefix, after a key.
	Range(ctx context.Context, prefix, after string) (Page, error)
	// Watch returns the changes after a revision as soon as there are any, or
	// none once wait is over.
	Watch(ctx context.Context, prefix string, after int64, wait clock.Millis) (Page, error)
}

// DecodedItem is what an item says: one of the pointers is set.
type DecodedItem struct {
	Catalog        *catalog.Catalog
	Server         *Server
	AdapterVersion *AdapterVersion
}

// Decoder reads items of the store.
type Decoder interface {
	// Prefix is that of all keys that are read.
	Prefix() string
	// Decode returns what an item says, or why it says nothing that can be used.
	Decode(item Item) (DecodedItem, error)
	// ServerID returns the server that a key is about.
	ServerID(key string) (string, bool)
}

// Server is a backend server as it registered itself.
type Server struct {
	ID         string
	Service    string
	Address    string
	DataCentre string
	Slots      int
	Draining   bool
	LeavesIn   clock.Millis // how long until it is gone; 0 when it does not say
	StartedAt  int64        // start of its process, Unix milliseconds; 0 when it does not say
	Models     []Holding
}

// Holding is a base model and the adapters that a server holds of it.
type Holding struct {
	Model    string
	Adapters map[string]int // version by adapter
}

// Adapter names an adapter of a model.
type Adapter struct {
	Model string
	Name  string
}

// AdapterVersion is the newest version of an adapter that operators named.
type AdapterVersion struct {
	Adapter Adapter
	Version int
}

// Order tells a server to load or unload an adapter, or a model when Adapter's
// name is empty.
type Order struct {
	Load    bool
	Adapter Adapter
	Version int // to load; 0 means the newest
	Owner   string
	Fence   int64
}

// Result is a server's answer to an order.
type Result int

// Results of an order.
const (
	Unknown      Result = iota // no answer: it may have been accepted
	Accepted                   // it is being carried out
	NothingToDo                // there is nothing to do
	Conflict                   // another order is under way
	Fenced                     // a higher fencing number was seen
	InvalidOrder               // there is no such order
	WrongServer                // the address belongs to another server
)

// String implements fmt.Stringer.
func (result Result) String() string {
	return [...]string{"Unknown", "Accepted", "Holds", "Conflict", "Fenced", "Invalid", "Other"}[result]
}

// OrderAnswer is what a server answers to an order.
type OrderAnswer struct {
	Result  Result
	Leaving bool // the server says that it will end soon
}

// Report is a server's state, some hundred milliseconds old.
type Report struct {
	Leaving   bool // the server says that it will end soon
	StartedAt int64
	Busy      bool // a model is being loaded or unloaded
	Models    []Holding
	Incoming  []Adapter
}

// ServerClient gives orders to model engines and reads their reports.
type ServerClient interface {
	SendOrder(ctx context.Context, server Server, order Order) (OrderAnswer, error)
	ReadReport(ctx context.Context, server Server) (Report, error)
}
