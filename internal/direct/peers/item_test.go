package peers_test

import (
	"bytes"
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"teaselmoor/internal/direct/peers"
	"teaselmoor/internal/direct/platformapi"
)

// routes returns a value that resembles a configuration with count routes.
func routes(count int) []byte {
	var value bytes.Buffer
	for i := range count {
		_, _ = fmt.Fprintf(&value, `{"Name":"r-%d","Host":"h%d.example","Prefix":"/p%d/","Kind":"streaming","TimeoutMs":12000,"Service":"s"},`, i*7919, i%40, i*104729)
	}
	return value.Bytes()
}

// TestLargeConfigurationIsSentLast checks that a configuration of 1,500 routes, which
// compresses to about a tenth, takes less than a fifth of its size, and that entries of
// leaving servers are sent before it.
func TestLargeConfigurationIsSentLast(t *testing.T) {
	config := platformapi.Item{Key: "config", Value: routes(1500), Revision: 4}
	packed := peers.Pack(config)
	require.Less(t, len(packed.Value), len(config.Value)/5)
	unpacked, err := packed.Unpack()
	require.NoError(t, err)
	require.Equal(t, config, unpacked)
	server := peers.Pack(platformapi.Item{Key: "server", Value: []byte("leaves"), Revision: 5})
	removed := peers.Pack(platformapi.Item{Key: "other", Deleted: true, Revision: 3})
	entries := []peers.Item{packed, server, removed}
	slices.SortFunc(entries, peers.CompareBySize)
	require.Equal(t, []peers.Item{removed, server, packed}, entries)
}

// TestUnpackInvalidValues checks that a value that cannot be uncompressed is an error, and that
// a small value cannot expand to an unlimited size.
func TestUnpackInvalidValues(t *testing.T) {
	_, err := peers.Item{Key: "k", Value: []byte("no stream"), Packed: true}.Unpack()
	require.ErrorContains(t, err, "unpack k")
	bomb := peers.Pack(platformapi.Item{Key: "k", Value: make([]byte, 9<<20)})
	require.Less(t, len(bomb.Value), 1<<20)
	_, err = bomb.Unpack()
	require.ErrorContains(t, err, "above")
}
