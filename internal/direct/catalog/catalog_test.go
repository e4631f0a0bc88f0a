package catalog_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"teaselmoor/internal/direct/catalog"
)

// TestRankPosition guards against reserves for ranks that no route which needs a key has.
func TestRankPosition(t *testing.T) {
	routes := []*catalog.Route{{Rank: 7}, {Rank: 2}, {Rank: 2}, {Rank: 0, Open: true}, {Rank: 4}}
	known := catalog.New(1, catalog.Limits{}, nil, routes, nil)
	for rank, want := range map[int]int{0: 0, 2: 0, 3: 1, 4: 1, 7: 2, 100: 2} {
		position, ranks := known.RankPosition(rank)
		require.Equal(t, want, position, rank)
		require.Equal(t, 3, ranks)
	}
	position, ranks := catalog.New(1, catalog.Limits{}, nil, routes[3:4], nil).RankPosition(1)
	require.Zero(t, position)
	require.Zero(t, ranks)
}
