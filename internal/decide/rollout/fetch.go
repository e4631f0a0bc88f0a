package rollout

import (
	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/control/config"
	"teaselmoor/internal/decide/effect"
	"teaselmoor/internal/decide/message"
)

const (
	// maxPendingParts is the maximum number of part requests in flight.
	maxPendingParts = 4
	// triesPerSource is how often a part is requested from each of its sources.
	triesPerSource = 2
	// configService is the source value of the configuration service.
	configService ident.DaemonID = ""
)

// fetch is the state of fetching one candidate. The manifest is treated as a part
// whose name is empty.
type fetch struct {
	candidate *candidate
	manifest  config.Manifest
	parts     map[string][]byte
	// pending holds the requests in flight, by part.
	pending map[string]*partRequest
	// notRequested lists the parts that have not been requested yet.
	notRequested []string
	// assembling is set while an AssembleConfig effect is being carried out.
	assembling bool
}

// partRequest is a request for a part.
type partRequest struct {
	tries     int
	timeoutAt clock.Millis
}

// advanceFetch starts fetching the best candidate and repeats requests that have timed
// out.
func (rollout *Rollout) advanceFetch() {
	rollout.startBestFetch()
	current := rollout.fetching
	if current == nil || current.assembling {
		return
	}
	for _, part := range current.overdueParts(rollout.now) {
		rollout.requestPart(part)
		if rollout.fetching != current {
			return
		}
	}
}

// overdueParts returns the parts whose requests have timed out.
func (fetch *fetch) overdueParts(now clock.Millis) []string {
	var overdue []string
	for _, part := range append([]string{""}, fetch.partNames()...) {
		if request, found := fetch.pending[part]; found && request.timeoutAt <= now {
			overdue = append(overdue, part)
		}
	}
	return overdue
}

func (fetch *fetch) partNames() []string {
	names := make([]string, 0, len(fetch.manifest.Parts))
	for _, part := range fetch.manifest.Parts {
		names = append(names, part.Name)
	}
	return names
}

// startBestFetch starts fetching the best candidate if it is higher than the one being
// fetched. Parts that both have in common are not fetched again.
func (rollout *Rollout) startBestFetch() {
	best := rollout.bestCandidate()
	if best == nil || !rollout.peers.inquiryDone(rollout.now, rollout.options) {
		return
	}
	current := rollout.fetching
	if current != nil && (current.assembling || current.candidate.mark.Compare(best.mark) >= 0) {
		return
	}
	next := &fetch{candidate: best, parts: map[string][]byte{}, pending: map[string]*partRequest{}}
	rollout.fetching = next
	if best.manifest == nil {
		rollout.requestPart("")
		return
	}
	if current != nil {
		next.parts = current.parts
	}
	rollout.requestMissingParts()
}

// requestPart requests a part from its next source, in rotation. It abandons the fetch
// if all sources have been tried often enough.
func (rollout *Rollout) requestPart(part string) {
	current := rollout.fetching
	sources := current.sources(part)
	request, found := current.pending[part]
	if !found {
		request = &partRequest{}
		current.pending[part] = request
	}
	if request.tries >= triesPerSource*len(sources) {
		rollout.abandonFetch("part " + part + " is nowhere to be had")
		return
	}
	source := sources[request.tries%len(sources)]
	request.tries++
	request.timeoutAt = rollout.now + rollout.options.FetchTimeout
	if source == configService {
		rollout.emit(effect.ReadConfigPart{Name: part})
		return
	}
	rollout.send(source, message.ConfigFetch{Mark: current.candidate.mark, Part: part})
}

// sources returns the sources of a part, in the order in which they are tried: first
// the daemons that offered the candidate, then the configuration service. The manifest
// is requested only from daemons.
func (fetch *fetch) sources(part string) []ident.DaemonID {
	offered := fetch.candidate.sources
	switch {
	case part == "":
		return offered
	case fetch.candidate.published && len(offered) == 0:
		return []ident.DaemonID{configService}
	default:
		return append(append([]ident.DaemonID(nil), offered...), configService)
	}
}

// abandonFetch ends the current fetch until the next try of its candidate, and keeps
// the parts that were received.
func (rollout *Rollout) abandonFetch(cause string) {
	candidate := rollout.fetching.candidate
	rollout.leftoverParts = rollout.fetching.parts
	rollout.fetching = nil
	rollout.deferCandidate(candidate, cause)
}

// requestMissingParts parses the manifest and requests the parts that are not
// available locally.
func (rollout *Rollout) requestMissingParts() {
	current := rollout.fetching
	manifest, err := config.ParseManifest(current.candidate.manifest)
	if err != nil {
		rollout.refuseCandidate(err.Error())
		return
	}
	current.manifest = manifest
	for _, part := range manifest.Parts {
		if body, found := rollout.localPart(part.Name); found && part.Verify(body) == nil {
			current.parts[part.Name] = body
			continue
		}
		delete(current.parts, part.Name)
		current.notRequested = append(current.notRequested, part.Name)
	}
	rollout.continueFetch()
}

// localPart returns a part from this fetch, from an abandoned one or from the
// configuration in force.
func (rollout *Rollout) localPart(name string) ([]byte, bool) {
	if body, found := rollout.fetching.parts[name]; found {
		return body, true
	}
	if body, found := rollout.leftoverParts[name]; found {
		return body, true
	}
	body, found := rollout.inForce.parts[name]
	return body, found
}

// continueFetch requests further parts, or emits an AssembleConfig if all parts have
// arrived.
func (rollout *Rollout) continueFetch() {
	current := rollout.fetching
	for len(current.notRequested) > 0 && len(current.pending) < maxPendingParts {
		next := current.notRequested[0]
		current.notRequested = current.notRequested[1:]
		rollout.requestPart(next)
		if rollout.fetching != current {
			return
		}
	}
	if len(current.pending) > 0 || len(current.notRequested) > 0 {
		return
	}
	current.assembling = true
	rollout.emit(effect.AssembleConfig{
		Mark: current.candidate.mark, Manifest: current.manifest, Parts: current.parts,
		Previous: rollout.inForce.snapshot,
	})
}

// refuseCandidate ends the current fetch and refuses its candidate permanently.
func (rollout *Rollout) refuseCandidate(cause string) {
	candidate := rollout.fetching.candidate
	rollout.fetching = nil
	candidate.refused = true
	rollout.auditRefusal(candidate.mark, cause)
}

// HandlePartRead handles the result of reading a part from the configuration service.
func (rollout *Rollout) HandlePartRead(now clock.Millis, name string, body []byte, failed bool) []effect.Effect {
	rollout.now = now
	rollout.partArrived(name, body, failed)
	return rollout.takeEffects()
}

// HandlePart handles a part, or the manifest, sent by another daemon.
func (rollout *Rollout) HandlePart(now clock.Millis, part message.ConfigPart) []effect.Effect {
	rollout.now = now
	current := rollout.fetching
	if current != nil && current.candidate.mark == part.Mark {
		if part.Part == "" {
			rollout.manifestArrived(part)
		} else {
			rollout.partArrived(part.Part, part.Body, part.Missing)
		}
	}
	return rollout.takeEffects()
}

// manifestArrived stores a manifest that has the candidate's mark, and otherwise
// requests it from the next source.
func (rollout *Rollout) manifestArrived(part message.ConfigPart) {
	current := rollout.fetching
	if current.pending[""] == nil {
		return
	}
	manifest, err := config.ParseManifest(part.Body)
	if part.Missing || err != nil || config.MarkOf(manifest, part.Body) != part.Mark {
		rollout.requestPart("")
		return
	}
	delete(current.pending, "")
	current.candidate.manifest = part.Body
	rollout.requestMissingParts()
}

// partArrived stores a part that agrees with the manifest, and otherwise requests it
// from the next source.
func (rollout *Rollout) partArrived(name string, body []byte, failed bool) {
	current := rollout.fetching
	if current == nil || current.assembling || current.pending[name] == nil {
		return
	}
	if failed || !current.isValid(name, body) {
		rollout.requestPart(name)
		return
	}
	delete(current.pending, name)
	current.parts[name] = body
	rollout.continueFetch()
}

// isValid reports whether a part agrees with the manifest.
func (fetch *fetch) isValid(name string, body []byte) bool {
	for _, part := range fetch.manifest.Parts {
		if part.Name == name {
			return part.Verify(body) == nil
		}
	}
	return false
}

// HandleAssembled handles the result of an AssembleConfig effect. If the snapshot is
// nil, the candidate is refused with the given cause.
func (rollout *Rollout) HandleAssembled(now clock.Millis, mark config.Mark, snapshot *config.Snapshot, cause string) []effect.Effect {
	rollout.now = now
	current := rollout.fetching
	if current == nil || current.candidate.mark != mark || !current.assembling {
		return rollout.takeEffects()
	}
	if snapshot == nil {
		rollout.refuseCandidate(cause)
		rollout.advanceFetch()
		return rollout.takeEffects()
	}
	rollout.fetching = nil
	rollout.accept(acceptedConfig{
		mark: mark, snapshot: snapshot, manifest: current.candidate.manifest, parts: current.parts,
	}, current.candidate.origin())
	rollout.advanceFetch()
	return rollout.takeEffects()
}

// origin returns the cause that the audit event of an accepted candidate names.
func (candidate *candidate) origin() string {
	if candidate.published {
		return "published"
	}
	return "offered by " + string(candidate.sources[0])
}
