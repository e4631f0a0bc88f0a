// Package engine implements the client of model engines. Client is the interface
// that the daemon uses. HTTPClient implements it for engines that have an
// OpenAI-compatible API, orders to load and unload adapters, and a state report.
package engine

import (
	"context"

	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/decide/effect"
	"teaselmoor/internal/decide/owner"
)

// Sink receives the answer of a run as it arrives. An error ends the relay of the
// answer.
type Sink interface {
	Head(status int, contentType string) error
	Chunk(ctx context.Context, payload []byte) error
}

// LoadResult is the result of a load or unload order.
type LoadResult string

// Results of load and unload orders.
const (
	LoadDone   LoadResult = "Done"
	LoadFailed LoadResult = "Failed"
	// LoadFenced means that the engine refused the order for its old fencing number.
	LoadFenced LoadResult = "Fenced"
)

// Client sends runs and orders to engines and relays their answers. Each run and
// order carries a fencing number, and the engine may refuse those with an old one.
type Client interface {
	// Run sends a run, or requests the remaining answer of a run that was sent
	// before, and relays the answer to the sink.
	Run(ctx context.Context, address string, start effect.StartRun, sink Sink) owner.Result
	// Cancel ends a run. It returns ResultCancelled if the engine confirmed that the
	// run has ended.
	Cancel(ctx context.Context, address string, run ident.StreamID, fence ident.Fence) owner.Result
	// Load loads an adapter and waits until the load has ended.
	Load(ctx context.Context, address string, adapter ident.Adapter, fence ident.Fence) LoadResult
	// Unload unloads an adapter and waits until the unload has ended.
	Unload(ctx context.Context, address string, adapter ident.Adapter, fence ident.Fence) LoadResult
	// ReadState reads the engine's state.
	ReadState(ctx context.Context, address string) (owner.Report, error)
}
