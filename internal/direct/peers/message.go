// Package peers connects the daemons of a site: it carries CBOR messages over WebSocket
// connections. A daemon opens a connection to each of its peers and only sends on it; it
// receives messages on the connections that its peers open. The package does not decide which
// daemons to connect to or what to send, and does not act on the content of messages.
package peers

import (
	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/claims"
	"teaselmoor/internal/direct/demand"
	"teaselmoor/internal/direct/fleet"
	"teaselmoor/internal/direct/inflight"
	"teaselmoor/internal/direct/loading"
	"teaselmoor/internal/direct/membership"
	"teaselmoor/internal/direct/outage"
	"teaselmoor/internal/direct/platformapi"
	"teaselmoor/internal/direct/quarantine"
	"teaselmoor/internal/direct/quota"
	"teaselmoor/internal/direct/software"
	"teaselmoor/internal/direct/speed"
	"teaselmoor/internal/direct/throttle"
)

// Update is the periodic report of a daemon to the daemons that it is connected to.
type Update struct {
	membership.Status
	Members []membership.Record // changed records of other daemons, not yet sent on this connection
	Claimed bool                // Claims holds all claims of the sender; false: they are not sent to this receiver
	Claims  []claims.Claim
	Store   *outage.Contact // nil if the sender does not read the store
}

// Delta holds the state changes that were not yet sent to the receiver on the same
// connection.
type Delta struct {
	Shares   []DaemonShare
	Tables   []fleet.Table
	Store    *StoreUpdate          // nil if the sender does not read the store for the receiver
	Sums     *Sums                 // nil if the sender is not the receiver's hub
	Loads    map[string]ServerLoad // the sender's own load at servers where it has changed since it was last sent
	Group    *GroupShare           // nil unless sender and receiver are hubs
	Owners   *Owners               // nil if unchanged, or if the sender is not the receiver's hub
	Reported []ServerReport        // reports of servers that have no owner yet
	Usage    *quota.Report         // nil if no account has a limit
}

// GroupShare is the load in progress of a hub and the daemons that have chosen it.
type GroupShare struct {
	Number int64 // increases by one with each share
	Whole  bool  // Share is complete; otherwise it holds changes since the previous Number, with 0 for load that has ended
	Share  inflight.Share
}

// Owners holds the owners of servers, and how fast the weight store is by their observations.
type Owners struct {
	By      map[string]string // owner by server
	Learned loading.RateEstimate
}

// ServerReport is a server's own report of the models and adapters that it holds.
type ServerReport struct {
	Server   string
	Born     int64 // when the server's process started
	Holdings []platformapi.Holding
}

// ServerLoad is the load that a daemon has in progress at a server, and what it has sent there
// since its previous message.
type ServerLoad struct {
	inflight.Load
	Sent int // prompt tokens
}

// Sums is the load in progress of all daemons except the receiver.
type Sums struct {
	Whole   bool                    // servers that are not listed have no load; otherwise their load is unchanged
	Servers map[string]inflight.Sum // servers whose sums have changed
	Uses    []ServerUses            // at servers that the receiver owns
}

// ServerUses holds the number of requests that use each adapter of a server.
type ServerUses struct {
	Server string
	Uses   map[platformapi.Adapter]int
}

// DaemonShare is the load that a daemon has in progress. Of two shares of a daemon, the one
// with the later incarnation is newer, or with the higher number if they are equal.
type DaemonShare struct {
	Name        string
	Incarnation int64
	Number      int64
	Share       inflight.Share
}

// StoreItems holds items of the store as of a revision of one of its eras.
type StoreItems struct {
	Items []Item
	AsOf  int64
	Era   int64 `cbor:",omitempty"`
	Whole bool  `cbor:",omitempty"` // Items holds all items, not only those that the receiver lacks
}

// StoreUpdate holds what the sender has read from the store.
type StoreUpdate struct {
	StoreItems
	// Age is the time since the store last answered the sender.
	Age clock.Millis
	// Back is the time since the store recovered from an outage; 0 if there was none.
	Back clock.Millis
}

// AdapterRequest asks the owner of a server to load an adapter. A daemon that cannot send it to
// the owner sends it to its hub.
type AdapterRequest struct {
	Server  string
	Adapter platformapi.Adapter
	Version int
	Rank    int          // urgency; 0 is the most urgent
	Left    clock.Millis // time until the request expires
	Absent  bool         // the server has just refused a request because it lacks the adapter
}

// Pull asks a peer for what it has read from the store after a revision.
type Pull struct {
	After int64
	Era   int64 `cbor:",omitempty"` // era of the revision
}

// Message holds exactly one of its fields; the others are nil.
type Message struct {
	Update         *Update
	Delta          *Delta
	AdapterRequest *AdapterRequest
	Pull           *Pull
	Items          *StoreItems // answers a Pull
	Warnings       *Warnings

	PromptRequest    *PromptRequest
	PromptAnswer     *PromptAnswer
	PromptWithdrawal *PromptWithdrawal
	Streams          []speed.Report // for the owners of the servers; sent to them or to the sender's hub, which forwards them

	Origins      []software.Batch // of streams that have begun, so that other daemons can resume them
	OriginQuery  *OriginQuery
	OriginAnswer *OriginAnswer
	TakenUp      *TakenUp
}

// Warnings holds what was not yet sent to the receiver on the same connection about requests
// under which servers crashed, limits that servers reported, servers that announced
// that they leave, the speeds of servers, and how many requests daemons receive.
type Warnings struct {
	Quarantine quarantine.Changes
	Limits     []throttle.ServerLimit
	Leaving    []fleet.DrainNotice
	Speeds     []speed.Estimate
	Demand     []demand.Report
}

// Empty reports whether there are no warnings.
func (warnings Warnings) Empty() bool {
	return warnings.Quarantine.Empty() && len(warnings.Limits) == 0 && len(warnings.Leaving) == 0 && len(warnings.Speeds) == 0 && len(warnings.Demand) == 0
}
