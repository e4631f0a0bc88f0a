package fleet

// logSlack is how many changes of tables are remembered beyond one for each server.
const logSlack = 1024

// noteTable notes that a table has changed.
func (fleet *Fleet) noteTable(server string) {
	fleet.tableLog = append(fleet.tableLog, server)
	if most := 2 * (len(fleet.tables) + logSlack); len(fleet.tableLog) > most {
		half := len(fleet.tableLog) / 2
		fleet.tableLog = append([]string{}, fleet.tableLog[half:]...)
		fleet.logged += int64(half)
	}
}

// TablesSince returns the tables that have changed since a number that it returned
// before, or all of them for 0 or one that is too long ago, and the number for the next
// call. A hub looks for the news of each of its daemons many times a second; most of
// thousands of tables are the same as before.
func (fleet *Fleet) TablesSince(change int64) (changed []Table, now int64) {
	now = fleet.logged + int64(len(fleet.tableLog))
	if change == 0 || change < fleet.logged {
		for _, table := range fleet.tables {
			changed = append(changed, table)
		}
		return changed, now
	}
	seen := make(map[string]bool)
	for _, server := range fleet.tableLog[change-fleet.logged:] {
		if table, ok := fleet.tables[server]; ok && !seen[server] {
			seen[server] = true
			changed = append(changed, table)
		}
	}
	return changed, now
}

// ReportCount returns how many reports of servers were taken over, which rises with each.
func (fleet *Fleet) ReportCount() int64 {
	return fleet.reports
}
