package rollout

import (
	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/control/config"
	"teaselmoor/internal/decide/effect"
	"teaselmoor/internal/decide/message"
)

const (
	// maxAsked is the number of parts asked for at once.
	maxAsked = 4
	// rounds is the number of times that each source of a part is asked.
	rounds = 2
	// service is the source that stands for the configuration service.
	service ident.DaemonID = ""
)

// fetch gathers one candidate. The manifest counts as a part without a name.
type fetch struct {
	candidate *candidate
	manifest  config.Manifest
	parts     map[string][]byte
	asked     map[string]*ask
	// wanted lists the parts not asked for yet.
	wanted     []string
	assembling bool
}

// ask is a part that was asked for.
type ask struct {
	tries int
	until clock.Millis
}

// tickFetch starts on the best candidate and asks again for what did not come.
func (rollout *Rollout) tickFetch() {
	rollout.chooseFetch()
	current := rollout.fetching
	if current == nil || current.assembling {
		return
	}
	for _, part := range current.overdue(rollout.now) {
		rollout.ask(part)
		if rollout.fetching != current {
			return
		}
	}
}

func (current *fetch) overdue(now clock.Millis) []string {
	var overdue []string
	for _, part := range append([]string{""}, current.names()...) {
		if asked, found := current.asked[part]; found && asked.until <= now {
			overdue = append(overdue, part)
		}
	}
	return overdue
}

func (current *fetch) names() []string {
	names := make([]string, 0, len(current.manifest.Parts))
	for _, part := range current.manifest.Parts {
		names = append(names, part.Name)
	}
	return names
}

// chooseFetch turns to a higher candidate as soon as one is known; parts that
// both have need not be fetched again.
func (rollout *Rollout) chooseFetch() {
	best := rollout.best()
	if best == nil || !rollout.peers.asked(rollout.now, rollout.options) {
		return
	}
	current := rollout.fetching
	if current != nil && (current.assembling || current.candidate.mark.Compare(best.mark) >= 0) {
		return
	}
	next := &fetch{candidate: best, parts: map[string][]byte{}, asked: map[string]*ask{}}
	rollout.fetching = next
	if best.manifest == nil {
		rollout.ask("")
		return
	}
	if current != nil {
		next.parts = current.parts
	}
	rollout.readManifest()
}

// ask asks the next source in turn for a part, or gives the candidate up.
func (rollout *Rollout) ask(part string) {
	current := rollout.fetching
	sources := current.sources(part)
	asked, found := current.asked[part]
	if !found {
		asked = &ask{}
		current.asked[part] = asked
	}
	if asked.tries >= rounds*len(sources) {
		rollout.abandon("part " + part + " is nowhere to be had")
		return
	}
	source := sources[asked.tries%len(sources)]
	asked.tries++
	asked.until = rollout.now + rollout.options.FetchTimeout
	if source == service {
		rollout.emit(effect.ReadConfigPart{Name: part})
		return
	}
	rollout.send(source, message.ConfigFetch{Mark: current.candidate.mark, Part: part})
}

// sources lists where a part may be had: what the service showed is read there
// first, what a daemon offered is fetched from it.
func (current *fetch) sources(part string) []ident.DaemonID {
	offered := current.candidate.sources
	switch {
	case part == "":
		return offered
	case current.candidate.published && len(offered) == 0:
		return []ident.DaemonID{service}
	default:
		return append(append([]ident.DaemonID(nil), offered...), service)
	}
}

func (rollout *Rollout) abandon(cause string) {
	abandoned := rollout.fetching.candidate
	rollout.spare = rollout.fetching.parts
	rollout.fetching = nil
	rollout.fail(abandoned, cause)
}

// readManifest asks for the parts that are not at hand.
func (rollout *Rollout) readManifest() {
	current := rollout.fetching
	manifest, err := config.ParseManifest(current.candidate.manifest)
	if err != nil {
		rollout.refuseFetch(err.Error())
		return
	}
	current.manifest = manifest
	for _, part := range manifest.Parts {
		if body, found := rollout.atHand(part.Name); found && part.Verify(body) == nil {
			current.parts[part.Name] = body
			continue
		}
		delete(current.parts, part.Name)
		current.wanted = append(current.wanted, part.Name)
	}
	rollout.proceed()
}

func (rollout *Rollout) atHand(name string) ([]byte, bool) {
	if body, found := rollout.fetching.parts[name]; found {
		return body, true
	}
	if body, found := rollout.spare[name]; found {
		return body, true
	}
	body, found := rollout.inForce.parts[name]
	return body, found
}

// proceed asks for further parts, or has the whole assembled.
func (rollout *Rollout) proceed() {
	current := rollout.fetching
	for len(current.wanted) > 0 && len(current.asked) < maxAsked {
		next := current.wanted[0]
		current.wanted = current.wanted[1:]
		rollout.ask(next)
		if rollout.fetching != current {
			return
		}
	}
	if len(current.asked) > 0 || len(current.wanted) > 0 {
		return
	}
	current.assembling = true
	rollout.emit(effect.AssembleConfig{
		Mark: current.candidate.mark, Manifest: current.manifest, Parts: current.parts,
		Previous: rollout.inForce.snapshot,
	})
}

// refuseFetch refuses the present candidate for good.
func (rollout *Rollout) refuseFetch(cause string) {
	refused := rollout.fetching.candidate
	rollout.fetching = nil
	refused.refused = true
	rollout.refuse(refused.mark, cause)
}

// PartRead takes in a part read from the configuration service.
func (rollout *Rollout) PartRead(now clock.Millis, name string, body []byte, failed bool) []effect.Effect {
	rollout.now = now
	rollout.arrived(name, body, failed)
	return rollout.take()
}

// Part takes in a part from another daemon.
func (rollout *Rollout) Part(now clock.Millis, part message.ConfigPart) []effect.Effect {
	rollout.now = now
	current := rollout.fetching
	if current != nil && current.candidate.mark == part.Mark {
		if part.Part == "" {
			rollout.manifestArrived(part)
		} else {
			rollout.arrived(part.Part, part.Body, part.Missing)
		}
	}
	return rollout.take()
}

func (rollout *Rollout) manifestArrived(part message.ConfigPart) {
	current := rollout.fetching
	if current.asked[""] == nil {
		return
	}
	manifest, err := config.ParseManifest(part.Body)
	if part.Missing || err != nil || config.MarkOf(manifest, part.Body) != part.Mark {
		rollout.ask("")
		return
	}
	delete(current.asked, "")
	current.candidate.manifest = part.Body
	rollout.readManifest()
}

// arrived keeps a part that is what the manifest says, and otherwise asks the
// next source.
func (rollout *Rollout) arrived(name string, body []byte, failed bool) {
	current := rollout.fetching
	if current == nil || current.assembling || current.asked[name] == nil {
		return
	}
	if failed || !current.matches(name, body) {
		rollout.ask(name)
		return
	}
	delete(current.asked, name)
	current.parts[name] = body
	rollout.proceed()
}

func (current *fetch) matches(name string, body []byte) bool {
	for _, part := range current.manifest.Parts {
		if part.Name == name {
			return part.Verify(body) == nil
		}
	}
	return false
}

// Assembled takes in the end of an AssembleConfig: a snapshot, or the cause of
// the refusal.
func (rollout *Rollout) Assembled(now clock.Millis, mark config.Mark, snapshot *config.Snapshot, cause string) []effect.Effect {
	rollout.now = now
	current := rollout.fetching
	if current == nil || current.candidate.mark != mark || !current.assembling {
		return rollout.take()
	}
	if snapshot == nil {
		rollout.refuseFetch(cause)
		rollout.tickFetch()
		return rollout.take()
	}
	rollout.fetching = nil
	rollout.accept(accepted{
		mark: mark, snapshot: snapshot, manifest: current.candidate.manifest, parts: current.parts,
	}, current.candidate.origin())
	rollout.tickFetch()
	return rollout.take()
}

// origin says where a candidate came from, for the audit trail.
func (candidate *candidate) origin() string {
	if candidate.published {
		return "published"
	}
	return "offered by " + string(candidate.sources[0])
}
