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
	// maxInquiries is the number of peers that a new daemon additionally sends offers to
	// at each interval, to learn of their configurations.
	maxInquiries = 4
	// maxSources is the maximum number of daemons kept as sources of one candidate.
	maxSources = 8
)

// peers holds the daemons to exchange offers with.
type peers struct {
	// known is set once a VM list has been read.
	known bool
	// rank is this daemon's position in the watch order of its data centre.
	rank           int
	sameDataCentre []ident.DaemonID // other daemons of the data centre
	region         []ident.DaemonID // other daemons of the region
	all            []ident.DaemonID // region, and the peers in other regions
	rotation       int              // number of daemons chosen by next
	// nextOfferAt is the time at which the next offers are due.
	nextOfferAt clock.Millis
	// knownAt is the time at which the first VM list was read.
	knownAt clock.Millis
	// offersFrom holds the peers that have sent an offer, with or without a
	// configuration.
	offersFrom map[ident.DaemonID]bool
	// offeredConfig is set once a peer has offered a configuration.
	offeredConfig bool
}

// inquiryDone reports whether this daemon has asked its peers for their configurations:
// one of them offered one, enough of them replied, or the time for it is over.
func (peers *peers) inquiryDone(now clock.Millis, options Options) bool {
	if !peers.known {
		return false
	}
	return peers.offeredConfig || len(peers.offersFrom) >= min(maxInquiries, len(peers.all)) ||
		now-peers.knownAt >= options.InquiryTimeout
}

// UpdateVMList applies a VM list that was read.
func (rollout *Rollout) UpdateVMList(now clock.Millis, view *members.View, dataCentre, region string) []effect.Effect {
	rollout.now = now
	sameDataCentre := view.LiveDaemons(func(vm *members.VM) bool { return vm.DataCentre == dataCentre })
	order := ownership.Rank("configuration watch", sameDataCentre)
	peers := &rollout.peers
	if !peers.known {
		peers.known, peers.knownAt, peers.offersFrom = true, now, map[ident.DaemonID]bool{}
		rollout.watch.lastContactAt = now
	}
	peers.rank = slices.Index(order, rollout.self)
	if peers.rank < 0 { // not listed as live
		peers.rank = len(order) + rollout.options.Watchers
	}
	peers.sameDataCentre = rollout.withoutSelf(sameDataCentre)
	peers.region = rollout.withoutSelf(view.LiveDaemons(func(vm *members.VM) bool { return vm.Region == region }))
	peers.all = append(slices.Clone(peers.region), CrossRegionPeers(view, rollout.self, region)...)
	rollout.offerPeriodically()
	rollout.callIfDue()
	return rollout.takeEffects()
}

// CrossRegionPeers returns the daemons of other regions to which a daemon keeps
// connections, so that configurations spread between regions without the configuration
// service. It returns at most one of each region, chosen among the daemons whose names
// sort after this daemon's, because of two daemons the one whose name sorts first dials.
func CrossRegionPeers(view *members.View, self ident.DaemonID, region string) []ident.DaemonID {
	later := map[string][]ident.DaemonID{}
	for _, daemon := range view.LiveDaemons(func(vm *members.VM) bool { return vm.Region != region && vm.Name > string(self) }) {
		vm, _ := view.Daemon(daemon)
		later[vm.Region] = append(later[vm.Region], daemon)
	}
	var peers []ident.DaemonID
	for _, other := range slices.Sorted(maps.Keys(later)) {
		peer, _ := ownership.First("contact/"+string(self), later[other])
		peers = append(peers, peer)
	}
	return peers
}

func (rollout *Rollout) withoutSelf(daemons []ident.DaemonID) []ident.DaemonID {
	return slices.DeleteFunc(daemons, func(daemon ident.DaemonID) bool { return daemon == rollout.self })
}

// newOffer returns an offer of the configuration in force.
func (rollout *Rollout) newOffer(reply bool) message.ConfigOffer {
	offered := rollout.inForce.mark
	if rollout.inForce.manifest == nil {
		offered.Version = 0 // other daemons cannot fetch it
	}
	return message.ConfigOffer{Mark: offered, Contact: rollout.watch.connected, Reply: reply}
}

// offerPeriodically sends offers at each interval: every daemon to one daemon of its
// region and to one of all its peers, in rotation, and connected watchers also to all
// daemons of their data centre. A new daemon sends more until its inquiry is done.
func (rollout *Rollout) offerPeriodically() {
	peers := &rollout.peers
	if !peers.known || rollout.now < peers.nextOfferAt {
		return
	}
	peers.nextOfferAt = rollout.now + rollout.options.OfferInterval
	chosen := []ident.DaemonID{peers.next(peers.region), peers.next(peers.all)}
	if rollout.watch.connected {
		chosen = append(chosen, peers.sameDataCentre...)
	}
	if !peers.inquiryDone(rollout.now, rollout.options) {
		for range maxInquiries {
			chosen = append(chosen, peers.next(peers.all))
		}
	}
	rollout.offerTo(chosen)
}

// offerAccepted offers a configuration that has just been accepted: every daemon to a
// few peers, and connected watchers also to all daemons of their data centre.
func (rollout *Rollout) offerAccepted() {
	peers := &rollout.peers
	chosen := []ident.DaemonID{peers.next(peers.region), peers.next(peers.region), peers.next(peers.all)}
	if rollout.watch.connected {
		chosen = append(chosen, peers.sameDataCentre...)
	}
	rollout.offerTo(chosen)
}

func (rollout *Rollout) offerTo(chosen []ident.DaemonID) {
	slices.Sort(chosen)
	for _, peer := range slices.Compact(chosen) {
		if peer != "" {
			rollout.send(peer, rollout.newOffer(false))
		}
	}
}

// next returns the next daemon of a list, in rotation. Daemons start at different
// positions, because their ranks differ.
func (peers *peers) next(list []ident.DaemonID) ident.DaemonID {
	if len(list) == 0 {
		return ""
	}
	peers.rotation++
	return list[(peers.rotation+peers.rank*7)%len(list)]
}

// HandleOffer handles an offer from another daemon. If that daemon has no configuration
// or a lower one, it replies with an offer, unless the received one is itself a reply.
func (rollout *Rollout) HandleOffer(now clock.Millis, from ident.DaemonID, offer message.ConfigOffer) []effect.Effect {
	rollout.now = now
	if offer.Contact && slices.Contains(rollout.peers.sameDataCentre, from) {
		rollout.watch.lastContactAt = now
	}
	if rollout.peers.known {
		rollout.peers.offersFrom[from] = true
		rollout.peers.offeredConfig = rollout.peers.offeredConfig || offer.Mark.Version > 0
	}
	if offer.Mark.Version > 0 {
		rollout.addSource(from, offer)
	}
	if !offer.Reply && (offer.Mark.Version == 0 || offer.Mark.Compare(rollout.inForce.mark) < 0) {
		rollout.send(from, rollout.newOffer(true))
	}
	rollout.advanceFetch()
	return rollout.takeEffects()
}

// addSource adds a daemon as a source of the candidate that it offered.
func (rollout *Rollout) addSource(from ident.DaemonID, offer message.ConfigOffer) {
	candidate := rollout.candidateFor(offer.Mark)
	if candidate == nil || slices.Contains(candidate.sources, from) {
		return
	}
	candidate.sources = append(candidate.sources, from)
	if len(candidate.sources) > maxSources {
		candidate.sources = candidate.sources[1:]
	}
}

// HandleFetch answers another daemon's request for a part or the manifest.
func (rollout *Rollout) HandleFetch(now clock.Millis, from ident.DaemonID, fetch message.ConfigFetch) []effect.Effect {
	rollout.now = now
	part := message.ConfigPart{Mark: fetch.Mark, Part: fetch.Part}
	switch {
	case fetch.Mark != rollout.inForce.mark:
	case fetch.Part == "":
		part.Body = rollout.inForce.manifest
	default:
		part.Body = rollout.inForce.parts[fetch.Part]
	}
	part.Missing = part.Body == nil
	rollout.send(from, part)
	return rollout.takeEffects()
}
