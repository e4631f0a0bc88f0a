package peers

import "slices"

// stringTable assigns an index to each distinct name.
type stringTable struct {
	list []string
}

func (stringTable *stringTable) index(name string) int {
	if at := slices.Index(stringTable.list, name); at >= 0 {
		return at
	}
	stringTable.list = append(stringTable.list, name)
	return len(stringTable.list) - 1
}

// nameAt returns the name with an index, or "" if the index is out of range.
func nameAt(list []string, index int) string {
	if index < 0 || index >= len(list) {
		return ""
	}
	return list[index]
}
