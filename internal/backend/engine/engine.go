// Package engine talks to model engines. Client is the interface that the
// runtime uses; HTTP implements it for engines with an OpenAI-compatible API,
// adapter load orders and a state report.
package engine

import (
	"context"

	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/decide/effect"
	"teaselmoor/internal/decide/owner"
)

// Sink takes in the answer of a run as it arrives. An error ends the relay.
type Sink interface {
	Head(status int, contentType string) error
	Chunk(ctx context.Context, payload []byte) error
}

// LoadResult is how a load or unload order ended.
type LoadResult string

// Results of load and unload orders.
const (
	LoadDone   LoadResult = "Done"
	LoadFailed LoadResult = "Failed"
	LoadFenced LoadResult = "Fenced"
)

// Client gives orders to engines and relays their answers. Every order carries
// a fencing number.
type Client interface {
	// Run sends a run, or asks for the rest of one, and relays the answer.
	Run(ctx context.Context, address string, start effect.StartRun, sink Sink) owner.Result
	// Cancel ends a run; ResultCancelled means that the engine confirmed the end.
	Cancel(ctx context.Context, address string, run ident.StreamID, fence ident.Fence) owner.Result
	Load(ctx context.Context, address string, adapter ident.Adapter, fence ident.Fence) LoadResult
	Unload(ctx context.Context, address string, adapter ident.Adapter, fence ident.Fence) LoadResult
	// Report reads the engine's state.
	Report(ctx context.Context, address string) (owner.Report, error)
}
