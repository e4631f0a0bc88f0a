package rollout

import (
	"maps"
	"slices"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/control/members"
	"teaselmoor/internal/decide/effect"
	"teaselmoor/internal/decide/message"
	"teaselmoor/internal/decide/ownership"
)

const (
	// maxInquiries is the number of peers that a new daemon asks at each interval.
	maxInquiries = 4
	// maxSources bounds the daemons remembered as sources of one candidate.
	maxSources = 8
)

// peers are the daemons to exchange offers with.
type peers struct {
	known bool
	// rank is this daemon's place in the watch order of its data centre.
	rank   int
	near   []ident.DaemonID // of the data centre, without this one
	region []ident.DaemonID
	all    []ident.DaemonID // of the region, and the contacts in other regions
	turn   int
	// offerAt is when the next offers are due.
	offerAt clock.Millis
	// knownAt is when the first VM list was read.
	knownAt clock.Millis
	replies map[ident.DaemonID]bool
	// taught says that a peer has told of a configuration.
	taught bool
}

// asked reports whether peers have been asked: one told of a configuration, or
// as many as were asked replied, or there was time enough.
func (peers *peers) asked(now clock.Millis, options Options) bool {
	if !peers.known {
		return false
	}
	return peers.taught || len(peers.replies) >= min(maxInquiries, len(peers.all)) ||
		now-peers.knownAt >= options.InquirySpan
}

// Peers takes in a reading of the VM list.
func (rollout *Rollout) Peers(now clock.Millis, view *members.View, dataCentre, region string) []effect.Effect {
	rollout.now = now
	near := view.Daemons(func(vm *members.VM) bool { return vm.DataCentre == dataCentre })
	order := ownership.Rank("configuration watch", near)
	peers := &rollout.peers
	if !peers.known {
		peers.known, peers.knownAt, peers.replies = true, now, map[ident.DaemonID]bool{}
		rollout.watch.heardAt = now
	}
	peers.rank = slices.Index(order, rollout.self)
	if peers.rank < 0 { // not listed, or leaving
		peers.rank = len(order) + rollout.options.Watchers
	}
	peers.near = rollout.without(near)
	peers.region = rollout.without(view.Daemons(func(vm *members.VM) bool { return vm.Region == region }))
	peers.all = append(slices.Clone(peers.region), Contacts(view, rollout.self, region)...)
	rollout.offerInTurn()
	rollout.tickWatch()
	return rollout.take()
}

// Contacts returns the daemons of other regions that a daemon keeps a connection
// to, so that a configuration spreads between regions without the service: one
// in each, of those with a later name, which is the side that does not dial.
func Contacts(view *members.View, self ident.DaemonID, region string) []ident.DaemonID {
	later := map[string][]ident.DaemonID{}
	for _, daemon := range view.Daemons(func(vm *members.VM) bool { return vm.Region != region && vm.Name > string(self) }) {
		vm, _ := view.Daemon(daemon)
		later[vm.Region] = append(later[vm.Region], daemon)
	}
	var contacts []ident.DaemonID
	for _, other := range slices.Sorted(maps.Keys(later)) {
		contact, _ := ownership.First("contact/"+string(self), later[other])
		contacts = append(contacts, contact)
	}
	return contacts
}

func (rollout *Rollout) without(daemons []ident.DaemonID) []ident.DaemonID {
	return slices.DeleteFunc(daemons, func(daemon ident.DaemonID) bool { return daemon == rollout.self })
}

// offer describes what this daemon has.
func (rollout *Rollout) offer(reply bool) message.ConfigOffer {
	offered := rollout.inForce.mark
	if rollout.inForce.manifest == nil {
		offered.Version = 0 // nothing that could be fetched
	}
	return message.ConfigOffer{Mark: offered, Contact: rollout.watch.contact, Reply: reply}
}

// offerInTurn offers to a few daemons at each interval: watchers to their whole
// data centre, everyone to one daemon of the region and one of all, in turn.
func (rollout *Rollout) offerInTurn() {
	peers := &rollout.peers
	if !peers.known || rollout.now < peers.offerAt {
		return
	}
	peers.offerAt = rollout.now + rollout.options.OfferInterval
	chosen := []ident.DaemonID{peers.next(peers.region), peers.next(peers.all)}
	if rollout.watch.contact {
		chosen = append(chosen, peers.near...)
	}
	if !peers.asked(rollout.now, rollout.options) {
		for range maxInquiries {
			chosen = append(chosen, peers.next(peers.all))
		}
	}
	rollout.offerTo(chosen)
}

// offerNow offers a configuration that has just been accepted: by watchers to
// their data centre, by others to a few.
func (rollout *Rollout) offerNow() {
	peers := &rollout.peers
	chosen := []ident.DaemonID{peers.next(peers.region), peers.next(peers.region), peers.next(peers.all)}
	if rollout.watch.contact {
		chosen = append(chosen, peers.near...)
	}
	rollout.offerTo(chosen)
}

func (rollout *Rollout) offerTo(chosen []ident.DaemonID) {
	slices.Sort(chosen)
	for _, peer := range slices.Compact(chosen) {
		if peer != "" {
			rollout.send(peer, rollout.offer(false))
		}
	}
}

// next returns the daemons of a list in turn. Each daemon begins at another
// place, because its rank differs.
func (peers *peers) next(list []ident.DaemonID) ident.DaemonID {
	if len(list) == 0 {
		return ""
	}
	peers.turn++
	return list[(peers.turn+peers.rank*7)%len(list)]
}

// Offered takes in what another daemon has accepted.
func (rollout *Rollout) Offered(now clock.Millis, from ident.DaemonID, offer message.ConfigOffer) []effect.Effect {
	rollout.now = now
	if offer.Contact && slices.Contains(rollout.peers.near, from) {
		rollout.watch.heardAt = now
	}
	if rollout.peers.known {
		rollout.peers.replies[from] = true
		rollout.peers.taught = rollout.peers.taught || offer.Mark.Version > 0
	}
	if offer.Mark.Version > 0 {
		rollout.offered(from, offer)
	}
	if !offer.Reply && (offer.Mark.Version == 0 || offer.Mark.Compare(rollout.inForce.mark) < 0) {
		rollout.send(from, rollout.offer(true))
	}
	rollout.tickFetch()
	return rollout.take()
}

func (rollout *Rollout) offered(from ident.DaemonID, offer message.ConfigOffer) {
	known := rollout.consider(offer.Mark)
	if known == nil || slices.Contains(known.sources, from) {
		return
	}
	known.sources = append(known.sources, from)
	if len(known.sources) > maxSources {
		known.sources = known.sources[1:]
	}
}

// Fetched answers another daemon that asks for a part.
func (rollout *Rollout) Fetched(now clock.Millis, from ident.DaemonID, wanted message.ConfigFetch) []effect.Effect {
	rollout.now = now
	answer := message.ConfigPart{Mark: wanted.Mark, Part: wanted.Part}
	switch {
	case wanted.Mark != rollout.inForce.mark:
	case wanted.Part == "":
		answer.Body = rollout.inForce.manifest
	default:
		answer.Body = rollout.inForce.parts[wanted.Part]
	}
	answer.Missing = answer.Body == nil
	rollout.send(from, answer)
	return rollout.take()
}
