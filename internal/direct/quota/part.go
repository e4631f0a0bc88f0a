package quota

import (
	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/account"
)

// part is how the limit of an account is parted now. Rates are in units a second.
type part struct {
	rate   float64 // that flows into the bucket
	depth  float64 // of the bucket, in units
	silent float64 // that silent sources are taken to use
	extra  float64 // of the depth, for callers of a daemon that hears nobody, in units
	kept   float64 // kept for daemons that are not heard, beyond what they are taken to use
}

// reached is the rate that daemons that are heard may use.
func (part part) reached() float64 {
	return max(0, part.rate-part.silent-part.kept)
}

// partOf returns how a limit is parted.
func (ledger *Ledger) partOf(used *use, limit account.Limit) part {
	missing := ledger.site.missing()
	if missing <= 0 || !limit.Limited() {
		rate, depth := ledger.tolerance.whole(limit)
		return part{rate: rate, depth: depth}
	}
	rate, depth := ledger.tolerance.parted(limit)
	parted := part{rate: rate, depth: depth}
	before := used.parting
	silent := ledger.silentRate(used)
	if ledger.alone() {
		silent = max(0, before.all-before.own)
	}
	scale := min(1, limit.Rate/max(1, before.all)) // where all used more than the limit
	parted.silent = min(limit.Rate, silent*scale)
	parted.kept = min(limit.Rate-parted.silent, missing*max(0, limit.Rate-before.all))
	parted.depth *= parted.reached() / parted.rate
	if ledger.alone() {
		// Its callers go on one by one, also where the part is less than a request.
		parted.extra = before.own * scale * recentSpan.Seconds()
		parted.depth += parted.extra
	}
	return parted
}

// silentRate is the rate of sources that count and are not heard now.
func (ledger *Ledger) silentRate(used *use) float64 {
	rate := 0.0
	for name := range ledger.site.Sources {
		rate += ledger.rateOfSilent(used, name)
	}
	return rate * ledger.silentPart
}

// rateOfSilent is the rate at which a source was heard last, 0 for one that is heard.
func (ledger *Ledger) rateOfSilent(used *use, name string) float64 {
	source := ledger.site.Sources[name]
	said, ok := used.sources[name]
	if !ok || source.Live {
		return 0
	}
	return said.counted.recent.rate(source.LastReportAt)
}

// alone reports whether this daemon hears none of the others.
func (ledger *Ledger) alone() bool {
	return ledger.site.Reached <= 1 && ledger.site.Daemons > 1
}

// advance lets the units of passing time flow into the bucket.
func (ledger *Ledger) advance(now clock.Millis, used *use, limit account.Limit) part {
	parted := ledger.partOf(used, limit)
	if now <= used.at {
		return parted
	}
	seconds := (now - used.at).Seconds()
	used.at = now
	ledger.assumeLate(used, seconds)
	if parted.silent > 0 {
		ledger.assume(used, parted.silent*seconds)
	}
	used.level = min(parted.depth, used.level+(parted.rate-parted.kept)*seconds)
	used.level = max(used.level, -mostDebt*limit.Rate*ledger.tolerance.Window.Seconds())
	return parted
}

// assumeLate takes off what sources are taken to use whose next word is overdue.
func (ledger *Ledger) assumeLate(used *use, seconds float64) {
	for _, name := range ledger.late {
		said, ok := used.sources[name]
		if !ok {
			continue
		}
		units := said.counted.recent.rate(ledger.site.Sources[name].LastReportAt) * seconds
		said.assumed += units
		used.take(said, units)
	}
}

// assume takes off what silent sources are taken to use, by the rates at which they were
// heard last.
func (ledger *Ledger) assume(used *use, units float64) {
	rates := ledger.silentRate(used) / ledger.silentPart
	for name := range ledger.site.Sources {
		if rate := ledger.rateOfSilent(used, name); rate > 0 {
			said := used.sources[name]
			said.assumed += units * rate / rates
			used.take(said, units*rate/rates)
		}
	}
}

// note takes down how accounts stand for when daemons are cut off.
func (ledger *Ledger) note(now clock.Millis) {
	if now < ledger.noted+memoryStep {
		return
	}
	ledger.noted = now
	for name, used := range ledger.accounts {
		limit := ledger.limits.Limit(name)
		if !limit.Limited() {
			continue
		}
		used.before.note(moment{
			at: now, level: used.level, units: used.heard(), reached: ledger.partOf(used, limit).reached(),
			all: ledger.rateOfAll(now, used), own: used.own.recent.rate(now),
		})
	}
}

// rateOfAll is the rate of all daemons, where silent ones count as they were heard last.
func (ledger *Ledger) rateOfAll(now clock.Millis, used *use) float64 {
	rate := used.own.recent.rate(now) + ledger.silentRate(used)
	for name, source := range ledger.site.Sources {
		if said, ok := used.sources[name]; ok && source.Live {
			rate += said.counted.recent.rate(now)
		}
	}
	return rate
}

// partLevels leaves accounts the part of what they had left when daemons were heard
// last, less what was used since.
func (ledger *Ledger) partLevels(now clock.Millis) {
	for name, used := range ledger.accounts {
		limit := ledger.limits.Limit(name)
		if !limit.Limited() {
			continue
		}
		before := used.before.at(now - SourceTimeout)
		used.parting = before
		parted := ledger.partOf(used, limit)
		share := parted.reached() / max(1, before.reached)
		left := before.level*share + parted.extra + parted.reached()*(now-before.at).Seconds() - (used.heard() - before.units)
		used.level = min(used.level, left, parted.depth)
	}
}
