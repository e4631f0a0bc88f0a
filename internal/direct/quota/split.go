package quota

import (
	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/account"
)

// split is how the limit of an account is currently split between the daemons that are
// counted together and the missing ones. Rates are in units a second.
type split struct {
	rate          float64 // added to the bucket
	depth         float64 // of the bucket, in units
	silentRate    float64 // that silent sources are assumed to use
	isolatedDepth float64 // part of depth that serves the callers of an isolated daemon, in units
	reservedRate  float64 // reserved for missing daemons beyond what they are assumed to use
}

// reachableRate returns the rate that the daemons counted together may use.
func (split split) reachableRate() float64 {
	return max(0, split.rate-split.silentRate-split.reservedRate)
}

// splitOf returns how the limit of an account is split.
func (ledger *Ledger) splitOf(usage *usage, limit account.Limit) split {
	missing := ledger.site.missing()
	if missing <= 0 || !limit.Limited() {
		rate, depth := ledger.tolerance.connectedBucket(limit)
		return split{rate: rate, depth: depth}
	}
	rate, depth := ledger.tolerance.splitBucket(limit)
	split := split{rate: rate, depth: depth}
	before := usage.atSplit
	silent := ledger.silentRate(usage)
	if ledger.isolated() {
		silent = max(0, before.allRate-before.ownRate)
	}
	scale := min(1, limit.Rate/max(1, before.allRate)) // below 1 where all daemons together used more than the limit
	split.silentRate = min(limit.Rate, silent*scale)
	split.reservedRate = min(limit.Rate-split.silentRate, missing*max(0, limit.Rate-before.allRate))
	split.depth *= split.reachableRate() / split.rate
	if ledger.isolated() {
		// The callers of this daemon must be served even if its share is less than one request.
		split.isolatedDepth = before.ownRate * scale * rateTimeConstant.Seconds()
		split.depth += split.isolatedDepth
	}
	return split
}

// silentRate returns the last reported rate of the silent sources, without the daemons that
// a live source reports for.
func (ledger *Ledger) silentRate(usage *usage) float64 {
	if ledger.silentShare == 0 {
		return 0
	}
	rate := 0.0
	for name := range ledger.site.Sources {
		rate += ledger.lastRateOf(usage, name)
	}
	return rate * ledger.silentShare
}

// lastRateOf returns the rate at the last report of a silent source, 0 for a live one.
func (ledger *Ledger) lastRateOf(usage *usage, name string) float64 {
	source := ledger.site.Sources[name]
	reported, ok := usage.sources[name]
	if !ok || source.Live {
		return 0
	}
	return reported.counted.recent.rate(source.LastReportAt)
}

// isolated reports whether this daemon receives reports from none of the others.
func (ledger *Ledger) isolated() bool {
	return ledger.site.Reached <= 1 && ledger.site.Daemons > 1
}

// advance adds the units of the time passed to the bucket, less the assumed usage of silent
// and overdue sources. It returns the current split.
func (ledger *Ledger) advance(now clock.Millis, usage *usage, limit account.Limit) split {
	split := ledger.splitOf(usage, limit)
	if now <= usage.updatedAt {
		return split
	}
	seconds := (now - usage.updatedAt).Seconds()
	usage.updatedAt = now
	ledger.assumeOverdueUse(usage, seconds)
	if split.silentRate > 0 {
		ledger.assumeSilentUse(usage, split.silentRate*seconds)
	}
	usage.level = min(split.depth, usage.level+(split.rate-split.reservedRate)*seconds)
	usage.level = max(usage.level, -maxDebtShare*limit.Rate*ledger.tolerance.Window.Seconds())
	return split
}

// assumeOverdueUse charges the usage that sources are assumed to have whose next report is
// overdue.
func (ledger *Ledger) assumeOverdueUse(usage *usage, seconds float64) {
	for _, name := range ledger.overdue {
		reported, ok := usage.sources[name]
		if !ok {
			continue
		}
		units := reported.counted.recent.rate(ledger.site.Sources[name].LastReportAt) * seconds
		reported.assumed += units
		usage.addUnits(reported, units)
	}
}

// assumeSilentUse charges units to the silent sources, in proportion to their last reported
// rates.
func (ledger *Ledger) assumeSilentUse(usage *usage, units float64) {
	rates := ledger.silentRate(usage) / ledger.silentShare
	for name := range ledger.site.Sources {
		if rate := ledger.lastRateOf(usage, name); rate > 0 {
			reported := usage.sources[name]
			reported.assumed += units * rate / rates
			usage.addUnits(reported, units*rate/rates)
		}
	}
}

// recordHistory adds a snapshot to each account's history, at most one per historyStep. The
// history is used when daemons become unreachable.
func (ledger *Ledger) recordHistory(now clock.Millis) {
	if now < ledger.recordedAt+historyStep {
		return
	}
	ledger.recordedAt = now
	for name, usage := range ledger.accounts {
		limit := ledger.limits.Limit(name)
		if !limit.Limited() {
			continue
		}
		split, allRate := ledger.splitOf(usage, limit), ledger.totalRate(now, usage)
		usage.history.add(snapshot{
			at: now, level: usage.level, units: usage.reportedUnits(), reachableRate: split.reachableRate(),
			allRate: allRate, ownRate: usage.own.recent.rate(now),
		})
		ledger.reviewUrgency(usage, limit, split, allRate)
	}
}

// totalRate returns the rate of all daemons, silent ones with their last reported rate.
func (ledger *Ledger) totalRate(now clock.Millis, usage *usage) float64 {
	rate := usage.own.recent.rate(now) + ledger.silentRate(usage)
	for name, source := range ledger.site.Sources {
		if reported, ok := usage.sources[name]; ok && source.Live {
			rate += reported.counted.recent.rate(now)
		}
	}
	return rate
}

// splitLevels reduces what accounts have left to this side's share of what they had left
// when the missing daemons last sent reports, less what was used since.
func (ledger *Ledger) splitLevels(now clock.Millis) {
	for name, usage := range ledger.accounts {
		limit := ledger.limits.Limit(name)
		if !limit.Limited() {
			continue
		}
		before := usage.history.at(now - SourceTimeout)
		usage.atSplit = before
		split := ledger.splitOf(usage, limit)
		share := split.reachableRate() / max(1, before.reachableRate)
		left := before.level*share + split.isolatedDepth + split.reachableRate()*(now-before.at).Seconds() - (usage.reportedUnits() - before.units)
		usage.level = min(usage.level, left, split.depth)
	}
}
