package catalog_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"teaselmoor/internal/direct/catalog"
)

// TestRankPosition guards against reserves for ranks of routes that need no key.
func TestRankPosition(t *testing.T) {
	known := catalog.New(1, catalog.Limits{}, nil, []*catalog.Route{{Rank: 7}, {Rank: 2}, {Rank: 2}, {Rank: 0, Open: true}, {Rank: 4}}, nil)
	for rank, want := range map[int]int{0: 0, 2: 0, 3: 1, 4: 1, 7: 2, 100: 2} {
		position, ranks := known.RankPosition(rank)
		require.Equal(t, [2]int{want, 3}, [2]int{position, ranks}, rank)
	}
	position, ranks := catalog.New(1, catalog.Limits{}, nil, nil, nil).RankPosition(1)
	require.Zero(t, position+ranks)
}
