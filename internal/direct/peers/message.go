// Package peers connects the daemons of a site with each other: WebSocket
// connections that carry CBOR messages. Each daemon keeps one connection to each
// other daemon and sends on it; what it hears comes on the connections that the
// others keep. Nothing here decides.
package peers

import (
	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/claims"
	"teaselmoor/internal/direct/fleet"
	"teaselmoor/internal/direct/inflight"
	"teaselmoor/internal/direct/loading"
	"teaselmoor/internal/direct/membership"
	"teaselmoor/internal/direct/platformapi"
	"teaselmoor/internal/direct/quarantine"
	"teaselmoor/internal/direct/quota"
	"teaselmoor/internal/direct/throttle"
)

// Update is what a daemon tells those that it is connected with every so often.
type Update struct {
	membership.Status
	Members []membership.Record // news of other daemons, not told before on the same connection
	Claimed bool                // Claims are told: all claims of the sender
	Claims  []claims.Claim      // none where the receiver claims no servers itself
}

// Delta is news: what its receiver has not been told on the same connection.
type Delta struct {
	Shares   []DaemonShare
	Tables   []fleet.Table
	Store    *StoreUpdate          // nil when the sender does not read the store for the receiver
	Sums     *Sums                 // nil when the sender is not the receiver's hub
	Loads    map[string]ServerLoad // the sender's own work at servers where it has changed since it told last
	Group    *GroupShare           // nil unless both are hubs
	Owners   *Owners               // nil when they have not changed, or the sender is not the receiver's hub
	Reported []ServerReport        // what servers say that no daemon gives orders to yet
	Usage    *quota.Report         // nil where no account has a limit
}

// GroupShare is what a hub and the daemons that have chosen it have in progress.
type GroupShare struct {
	Number int64 // rises by one with each
	Whole  bool  // else the share holds what has changed since the number before, 0 for what has ended
	Share  inflight.Share
}

// Owners are the daemons that give orders to servers, by server, and what those have
// learned of the weight store.
type Owners struct {
	By      map[string]string
	Learned loading.RateEstimate
}

// ServerReport is what a server itself says that it holds.
type ServerReport struct {
	Server   string
	Born     int64
	Holdings []platformapi.Holding
}

// ServerLoad is what a daemon has in progress at a server, and what it has sent there since it
// told last.
type ServerLoad struct {
	inflight.Load
	Sent int // prompt tokens
}

// Sums is what all daemons but the receiver have in progress.
type Sums struct {
	Whole   bool                    // servers that are not named have no work; else nothing has changed there
	Servers map[string]inflight.Sum // those whose sums have changed
	Uses    []ServerUses            // at servers that the receiver orders
}

// ServerUses is how many requests use each adapter of a server.
type ServerUses struct {
	Server string
	Uses   map[platformapi.Adapter]int
}

// DaemonShare is what a daemon has in progress. Of two, the one of the later
// incarnation, or else with the higher number, is the newer.
type DaemonShare struct {
	Name        string
	Incarnation int64
	Number      int64
	Share       inflight.Share
}

// StoreItems are items of the store, as of a revision of one of its eras.
type StoreItems struct {
	Items []Item
	AsOf  int64
	Era   int64 `cbor:",omitempty"`
	Whole bool  `cbor:",omitempty"` // all items that there are, and not only those that the receiver lacks
}

// StoreUpdate is what was read of the store.
type StoreUpdate struct {
	StoreItems
	// Age is how long ago the store answered the sender.
	Age clock.Millis
	// Back is how long ago the store came back from an outage; 0 when it has not
	// been away.
	Back clock.Millis
}

// AdapterRequest asks the daemon that gives orders to a server for an adapter.
type AdapterRequest struct {
	Server  string
	Adapter platformapi.Adapter
	Version int
	Rank    int
	Left    clock.Millis // until the request gives up
	Absent  bool         // the server has just refused a request for lack of it
}

// Pull asks a peer for what it has read of the store after a revision.
type Pull struct {
	After int64
	Era   int64 `cbor:",omitempty"` // that the revision is of
}

// Message is one of its parts; the others are nil.
type Message struct {
	Update         *Update
	Delta          *Delta
	AdapterRequest *AdapterRequest
	Pull           *Pull
	Items          *StoreItems // answers a Pull
	Warnings       *Warnings
}

// Warnings are what the receiver has not been told on the same connection of contents under
// which servers ended, of limits that servers named, and of servers that said that they leave.
type Warnings struct {
	Quarantine []quarantine.Record
	Limits     []throttle.ServerLimit
	Leaving    []fleet.DrainNotice
}

// Empty reports whether there is nothing to tell.
func (warnings Warnings) Empty() bool {
	return len(warnings.Quarantine) == 0 && len(warnings.Limits) == 0 && len(warnings.Leaving) == 0
}
