package quota

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/account"
)

// Scope tells whose use a word speaks of.
type Scope int

// Scopes. Their numbers are sent between daemons.
const (
	Own    Scope = iota // of the daemon that says it
	Group               // of a hub and those that have chosen it
	Others              // of all daemons but the one that hears it
)

// Reading is the use of an account.
type Reading struct {
	Account string
	Number  int64   // of the count; another number is a count that began anew
	Total   float64 // units since the start of who says it
	Recent  float64 // of them, as they fade
}

// Report is what a daemon says of the use of accounts.
type Report struct {
	Scope       Scope
	Incarnation int64 // start of the process that says it
	Daemons     int   // that it counts together with, itself included
	Readings    []Reading
}

// ApplyReport takes over what a source says. Counts tells that its words count; what others
// speak for is noted only, in case they count later.
func (ledger *Ledger) ApplyReport(now clock.Millis, name string, word Report, counts bool) {
	if ledger.starts[name] != word.Incarnation {
		ledger.forget(name)
	}
	ledger.starts[name] = word.Incarnation
	if counts && word.Scope != Others && ledger.followed {
		ledger.ForgetHub() // it counts with the others itself now
		ledger.followed = false
	}
	for _, reading := range word.Readings {
		limit := ledger.limits.Limit(reading.Account)
		used := ledger.of(now, reading.Account, limit)
		ledger.advance(now, used, limit)
		ledger.hear(now, used, name, word.Scope, reading, counts)
	}
	ledger.followed = ledger.followed || counts && word.Scope == Others
}

func (ledger *Ledger) hear(now clock.Millis, used *use, name string, scope Scope, reading Reading, counts bool) {
	said, known := used.sources[name]
	if !known || said.scope != scope || said.number != reading.Number {
		said = &share{scope: scope, number: reading.Number, told: reading.Total - reading.Recent}
		if scope == Others && ledger.followed {
			said.told = reading.Total // the former hub has told of it
		}
		used.sources[name] = said
	}
	units := reading.Total - said.told - said.assumed
	said.told, said.assumed = reading.Total, 0
	if counts {
		used.take(said, units)
		used.recent(now, said, reading.Recent)
	}
}

// ForgetHub notes that another hub than before, or none, tells what others use.
func (ledger *Ledger) ForgetHub() {
	for _, used := range ledger.accounts {
		maps.DeleteFunc(used.sources, func(_ string, said *share) bool { return said.scope == Others })
	}
}

// ForgetSource drops what a source has said: it counts elsewhere, or is gone.
func (ledger *Ledger) ForgetSource(name string) {
	delete(ledger.starts, name)
	ledger.forget(name)
}

func (ledger *Ledger) forget(name string) {
	for _, used := range ledger.accounts {
		delete(used.sources, name)
	}
}

// SentTotals is what a daemon was told, by account.
type SentTotals map[string]toldTotal

// toldTotal is a total of a count.
type toldTotal struct {
	number int64
	units  float64
}

// UnsentReadings returns what a daemon has not been told of the use in a scope, and notes it as
// told. Sharers is the number of daemons whose words add up to what the receiver knows;
// with 0 it is told all that has changed.
func (ledger *Ledger) UnsentReadings(now clock.Millis, scope Scope, receiver string, told SentTotals, sharers int) []Reading {
	var news []Reading
	for name, used := range ledger.accounts {
		limit := ledger.limits.Limit(name)
		if !limit.Limited() {
			continue
		}
		ledger.advance(now, used, limit)
		counted := used.of(scope, receiver)
		before := told[name]
		if before.number == used.number && math.Abs(counted.units-before.units) < ledger.step(used, limit, sharers) {
			continue
		}
		told[name] = toldTotal{number: used.number, units: counted.units}
		news = append(news, Reading{Account: name, Number: used.number, Total: counted.units, Recent: max(0, counted.recent.faded(now))})
	}
	slices.SortFunc(news, func(a, b Reading) int { return cmp.Compare(a.Account, b.Account) })
	return news
}

// of returns the count in a scope as a receiver needs it.
func (used *use) of(scope Scope, receiver string) total {
	switch scope {
	case Own:
		return used.own
	case Group:
		return used.group
	}
	others := used.all
	if said, ok := used.sources[receiver]; ok {
		others.units -= said.counted.units
		others.recent.add(others.recent.at, -said.counted.recent.faded(others.recent.at))
	}
	return others
}

// What is not told is at most half of what is left, over all who tell, and no less than
// a part of the allowance.
const (
	untoldShare = 0.5
	leastStep   = 0.001
)

// step is how far a total runs ahead of what was told.
func (ledger *Ledger) step(used *use, limit account.Limit, sharers int) float64 {
	least := leastStep * ledger.tolerance.allowance(limit)
	if sharers <= 0 {
		return least
	}
	return max(untoldShare*used.level/float64(sharers), least)
}
