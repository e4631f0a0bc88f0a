package fleet

// logSlack is the number of table changes that the log keeps in addition to one for each
// table.
const logSlack = 1024

// logTable appends a changed table to the log.
func (fleet *Fleet) logTable(server string) {
	fleet.tableLog = append(fleet.tableLog, server)
	if limit := 2 * (len(fleet.tables) + logSlack); len(fleet.tableLog) > limit {
		half := len(fleet.tableLog) / 2
		fleet.tableLog = append([]string{}, fleet.tableLog[half:]...)
		fleet.logOffset += int64(half)
	}
}

// TablesSince returns the tables that have changed since a number returned by an earlier
// call, and the number for the next call. It returns all tables for 0, or if the number is
// so old that the log no longer covers it. A hub calls this for each of its daemons many
// times a second, and most of its thousands of tables have not changed.
func (fleet *Fleet) TablesSince(change int64) (changed []Table, next int64) {
	next = fleet.logOffset + int64(len(fleet.tableLog))
	if change == 0 || change < fleet.logOffset {
		for _, table := range fleet.tables {
			changed = append(changed, table)
		}
		return changed, next
	}
	seen := make(map[string]bool)
	for _, server := range fleet.tableLog[change-fleet.logOffset:] {
		if table, ok := fleet.tables[server]; ok && !seen[server] {
			seen[server] = true
			changed = append(changed, table)
		}
	}
	return changed, next
}

// ReportCount returns how many reports of servers have been applied.
func (fleet *Fleet) ReportCount() int64 {
	return fleet.reports
}
