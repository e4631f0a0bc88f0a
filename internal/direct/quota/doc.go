// Package quota enforces the limits of client accounts across all daemons of a site. It
// does no I/O and reads no clock.
//
// Each daemon has a Ledger. For each account in use it keeps a token bucket of the whole
// limit, from which it takes what this daemon admits and what other daemons report to
// have admitted. Daemons send each other running totals, so that a lost report is made
// up for by the next one. The difference between a total and the last one sent may grow
// with what is left of the account's limit, so that accounts far below their limit are
// reported less often.
//
// Usage takes the same paths as the reports of requests in progress. In a mesh each daemon
// sends its own usage to every other one (Own). In a larger site it sends it to its hub; a
// hub sends the usage of its group to the other hubs (Group), and to each member the usage
// of all other daemons (Others).
//
// Daemons that cannot reach each other cannot count together. Each side assumes that the
// other continues at its last reported rate, and splits what is left of the limit by the
// number of daemons on either side. Both sides compute the same shares from what both knew
// before they were separated, so that the shares add up to the limit whatever callers do.
package quota
