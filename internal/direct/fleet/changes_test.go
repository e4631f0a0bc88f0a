package fleet_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"teaselmoor/internal/direct/fleet"
)

// TestTablesSince: a caller that applies the changes of each call knows all tables, whenever
// it calls.
func TestTablesSince(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		servers := fleet.New(fleet.DefaultOptions())
		known, at, number := make(map[string]fleet.Table), int64(0), int64(0)
		for range rapid.IntRange(1, 40).Draw(t, "rounds") {
			for range rapid.IntRange(0, 300).Draw(t, "changes") {
				number++
				servers.SetTable(fleet.Table{Server: fmt.Sprint("s", number%7), Fence: 1, Number: number})
			}
			if !rapid.Bool().Draw(t, "asks") {
				continue
			}
			changed, next := servers.TablesSince(at)
			at = next
			for _, table := range changed {
				known[table.Server] = table
			}
			require.Equal(t, servers.Tables(), known)
			again, _ := servers.TablesSince(at)
			require.True(t, at == 0 || len(again) == 0)
		}
	})
}
