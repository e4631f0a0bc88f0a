package content_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"teaselmoor/internal/direct/content"
)

func TestDifferentRequestsHaveDifferentIDs(t *testing.T) {
	request := content.Request{Host: "host", Target: "/path?a=1", Account: "account", Body: [][]byte{[]byte("body")}}
	require.Equal(t, content.Of(request), content.Of(request))
	for name, change := range map[string]func(*content.Request){
		"host":    func(request *content.Request) { request.Host = "other" },
		"target":  func(request *content.Request) { request.Target = "/path?a=2" },
		"account": func(request *content.Request) { request.Account = "" },
		"body":    func(request *content.Request) { request.Body = nil },
		"border":  func(request *content.Request) { request.Host, request.Target = "host/", "path?a=1" },
	} {
		other := request
		change(&other)
		require.NotEqual(t, content.Of(request), content.Of(other), name)
	}
	require.Len(t, content.Of(request).String(), 32)
}

func TestPartsOfDifferentAccountsHaveDifferentIDs(t *testing.T) {
	part := content.PartID("account", "5c1e")
	require.Equal(t, part, content.PartID("account", "5c1e"))
	require.NotEqual(t, part, content.PartID("", "5c1e"))
	require.NotEqual(t, part, content.PartID("account", "5c1f"))
	require.NotEqual(t, content.PartID("ab", "c"), content.PartID("a", "bc"))
	require.NotEqual(t, content.PartID("", "5c1e"), content.Of(content.Request{Body: [][]byte{[]byte("5c1e")}}))
}

// BenchmarkOf measures Of, which the daemon calls for each request.
func BenchmarkOf(b *testing.B) {
	request := content.Request{Host: "site.example", Target: "/contract/1", Account: "account", Body: [][]byte{make([]byte, 512)}}
	for b.Loop() {
		content.Of(request)
	}
}
