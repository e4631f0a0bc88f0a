package quarantine

import (
	"maps"
	"strconv"
	"strings"

	"teaselmoor/internal/base/clock"
)

// processEnds counts the ends of processes that have the same name, as a server may come back under the id
// that it had without saying when it started.
type processEnds struct {
	count  int
	lastAt clock.Millis
}

// endSeparator stands between the name of a process and the number of its end, if that is not the first.
const endSeparator = "#"

// endName returns the name of the end of a process that is noticed now.
func (list *List) endName(now clock.Millis, process string) string {
	known, ok := list.ends[process]
	if !ok || now-known.lastAt >= list.options.SameEnd {
		known = processEnds{count: known.count + 1, lastAt: now}
		list.ends[process] = known
	}
	return known.name(process)
}

// name returns the name of the last end of a process.
func (processEnds processEnds) name(process string) string {
	if processEnds.count == 1 {
		return process
	}
	return process + endSeparator + strconv.Itoa(processEnds.count)
}

// learnEnds takes over the ends that a record of another daemon names.
func (list *List) learnEnds(now clock.Millis, record Record) {
	for _, name := range record.Servers {
		process, count := parseEnd(name)
		if list.ends[process].count < count {
			list.ends[process] = processEnds{count: count, lastAt: now - record.Age}
		}
	}
}

// parseEnd returns the process that an end belongs to, and the number of the end. Ids of servers may hold the separator; what follows it in
// the name of a process is no number then, as the name ends with the process's start.
func parseEnd(name string) (process string, count int) {
	at := strings.LastIndex(name, endSeparator)
	if at < 0 {
		return name, 1
	}
	count, err := strconv.Atoi(name[at+len(endSeparator):])
	if err != nil {
		return name, 1
	}
	return name[:at], count
}

// pruneEnds forgets processes whose records have been forgotten.
func (list *List) pruneEnds(now clock.Millis) {
	maps.DeleteFunc(list.ends, func(_ string, known processEnds) bool { return now-known.lastAt >= list.options.Keep })
}
