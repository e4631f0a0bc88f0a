package quota

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/account"
)

// Scope is the set of daemons whose usage a report covers.
type Scope int

// Scopes. Their numbers are sent between daemons.
const (
	Own    Scope = iota // the sending daemon
	Group               // a hub and the daemons that have chosen it
	Others              // all daemons except the receiver
)

// Reading is the usage of an account.
type Reading struct {
	Account string
	Number  int64   // identifies the count; a new number means that the count restarted
	Total   float64 // units since the start of the count
	Recent  float64 // the recent part of Total, as an exponentially decaying sum
}

// Report is what a daemon reports to another one on the usage of accounts.
type Report struct {
	Scope       Scope
	Incarnation int64 // start of the sending process
	Daemons     int   // that the report covers, the sender included
	Readings    []Reading
}

// ApplyReport applies the report of a source. If counts is true, the reported usage is added
// up. Otherwise another source covers this one, and its totals are only stored, as the base
// from which usage counts if its reports are added up later.
func (ledger *Ledger) ApplyReport(now clock.Millis, name string, report Report, counts bool) {
	if ledger.incarnations[name] != report.Incarnation {
		ledger.dropSource(name)
	}
	ledger.incarnations[name] = report.Incarnation
	if counts && report.Scope != Others && ledger.hubReported {
		ledger.ForgetHub() // this daemon adds up the reports of the other daemons itself now
		ledger.hubReported = false
	}
	for _, reading := range report.Readings {
		limit := ledger.limits.Limit(reading.Account)
		usage := ledger.usageOf(now, reading.Account, limit)
		ledger.advance(now, usage, limit)
		ledger.applyReading(now, usage, name, report.Scope, reading, counts)
	}
	ledger.hubReported = ledger.hubReported || counts && report.Scope == Others
}

// applyReading applies a reading to the usage that its source has reported before.
func (ledger *Ledger) applyReading(now clock.Millis, usage *usage, name string, scope Scope, reading Reading, counts bool) {
	reported, known := usage.sources[name]
	if !known || reported.scope != scope || reported.number != reading.Number {
		reported = &sourceUsage{scope: scope, number: reading.Number, lastTotal: reading.Total - reading.Recent}
		if scope == Others && ledger.hubReported {
			reported.lastTotal = reading.Total // the former hub has reported this usage
		}
		usage.sources[name] = reported
	}
	units := reading.Total - reported.lastTotal - reported.assumed
	reported.lastTotal, reported.assumed = reading.Total, 0
	if counts {
		usage.addUnits(reported, units)
		usage.setRecent(now, reported, reading.Recent)
	}
}

// ForgetHub drops what the former hub has reported, because another hub or none reports the
// usage of the other daemons from now on.
func (ledger *Ledger) ForgetHub() {
	for _, usage := range ledger.accounts {
		maps.DeleteFunc(usage.sources, func(_ string, reported *sourceUsage) bool { return reported.scope == Others })
	}
}

// ForgetSource drops what a source has reported: another source covers it, or it is no longer
// a daemon of the site.
func (ledger *Ledger) ForgetSource(name string) {
	delete(ledger.incarnations, name)
	ledger.dropSource(name)
}

// dropSource removes the readings of a source from all accounts.
func (ledger *Ledger) dropSource(name string) {
	for _, usage := range ledger.accounts {
		delete(usage.sources, name)
	}
}

// SentTotals holds the totals last sent to a daemon, by account.
type SentTotals map[string]sentTotal

// sentTotal is the total last sent, with the number of its count.
type sentTotal struct {
	number int64
	units  float64
}

// UnsentReadings returns the readings in a scope that differ enough from those last sent to a
// receiver, and records them in sent. Reporters is the number of daemons whose reports the
// receiver adds up; with 0, all but negligible changes are returned.
func (ledger *Ledger) UnsentReadings(now clock.Millis, scope Scope, receiver string, sent SentTotals, reporters int) []Reading {
	var readings []Reading
	for name, usage := range ledger.accounts {
		limit := ledger.limits.Limit(name)
		if !limit.Limited() {
			continue
		}
		ledger.advance(now, usage, limit)
		total := usage.totalFor(scope, receiver)
		before := sent[name]
		if before.number == usage.number && math.Abs(total.units-before.units) < ledger.maxUnsent(usage, limit, reporters) {
			continue
		}
		sent[name] = sentTotal{number: usage.number, units: total.units}
		readings = append(readings, Reading{Account: name, Number: usage.number, Total: total.units, Recent: max(0, total.recent.decayed(now))})
	}
	slices.SortFunc(readings, func(a, b Reading) int { return cmp.Compare(a.Account, b.Account) })
	return readings
}

// totalFor returns the total in a scope. For Others it leaves out what the receiver itself
// has reported.
func (usage *usage) totalFor(scope Scope, receiver string) total {
	switch scope {
	case Own:
		return usage.own
	case Group:
		return usage.group
	}
	others := usage.all
	if reported, ok := usage.sources[receiver]; ok {
		others.units -= reported.counted.units
		others.recent.add(others.recent.updatedAt, -reported.counted.recent.decayed(others.recent.updatedAt))
	}
	return others
}

// Changes that are not sent are bounded: all reporters together may leave unsent unsentShare
// of what the account has left. Each may always leave unsent minUnsentShare of the allowance.
const (
	unsentShare    = 0.5
	minUnsentShare = 0.001
)

// maxUnsent returns by how much a total may differ from the one last sent.
func (ledger *Ledger) maxUnsent(usage *usage, limit account.Limit, reporters int) float64 {
	minimum := minUnsentShare * ledger.tolerance.allowance(limit)
	if reporters <= 0 {
		return minimum
	}
	return max(unsentShare*usage.level/float64(reporters), minimum)
}
