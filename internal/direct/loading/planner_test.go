package loading_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/loading"
	"teaselmoor/internal/direct/platformapi"
)

const adapterSlots = 4

var limits = loading.Limits{
	AdapterSlots: adapterSlots, MemoryMB: 1000,
	ModelMB: map[string]float64{"m": 900}, AdapterMB: map[string]float64{"m": 10},
}

// idleStore is a weight store without loads in flight.
var idleStore = loading.Traffic{Servers: 8}

func never(platformapi.Adapter) bool { return false }

func noVersion(platformapi.Adapter) int { return 0 }

func noUses(platformapi.Adapter) int { return 0 }

func adapter(name string) platformapi.Adapter { return platformapi.Adapter{Model: "m", Name: name} }

func newPlanner(now clock.Millis, adapters ...string) *loading.Planner {
	planner := loading.New(loading.DefaultOptions(), limits, loading.NewLoadRate(), never)
	confirmFence(planner, now)
	held := make(map[string]int)
	for _, name := range adapters {
		held[name] = 1
	}
	planner.SetReport(now, platformapi.Report{Models: []platformapi.Holding{{Model: "m", Adapters: held}}})
	return planner
}

// confirmFence makes the planner's fencing number known to the server.
func confirmFence(planner *loading.Planner, now clock.Millis) {
	order, _, _ := planner.NextOrder(now, noUses, noVersion, idleStore, true)
	planner.HandleResult(now, order, platformapi.NothingToDo, idleStore)
}

// TestReportIsReadAfterFencingNumberIsKnown: until the server has seen the new fencing
// number, it may accept a load from its former owner that no report shows.
func TestReportIsReadAfterFencingNumberIsKnown(t *testing.T) {
	planner := loading.New(loading.DefaultOptions(), limits, loading.NewLoadRate(), never)
	needed, _ := planner.NeedsReport()
	require.False(t, needed)
	order, ok, _ := planner.NextOrder(1000, noUses, noVersion, idleStore, true)
	require.True(t, ok)
	require.Equal(t, platformapi.Order{Load: true, Adapter: platformapi.Adapter{Model: "m"}}, order)
	planner.HandleResult(1000, order, platformapi.Unknown, idleStore)
	needed, _ = planner.NeedsReport()
	require.False(t, needed)
	order, _, _ = planner.NextOrder(1200, noUses, noVersion, idleStore, true)
	planner.HandleResult(1200, order, platformapi.NothingToDo, idleStore)
	needed, from := planner.NeedsReport()
	require.True(t, needed)
	require.Equal(t, 1200+loading.DefaultOptions().ReportLag, from)
}

func TestEmptyServerLoadsBaseModel(t *testing.T) {
	planner := loading.New(loading.DefaultOptions(), limits, loading.NewLoadRate(), never)
	confirmFence(planner, 500)
	planner.SetReport(1000, platformapi.Report{})
	order, ok, _ := planner.NextOrder(1000, noUses, noVersion, idleStore, true)
	require.True(t, ok)
	require.Equal(t, platformapi.Order{Load: true, Adapter: platformapi.Adapter{Model: "m"}}, order)
	planner.HandleResult(1000, order, platformapi.Accepted, idleStore)
	_, ok, at := planner.NextOrder(1010, noUses, noVersion, idleStore, true)
	require.False(t, ok, "the base model is being loaded")
	require.Positive(t, at)
}

// TestAdapterInUseIsNotEvicted: at a full server, only an adapter that is not in use may be
// evicted.
func TestAdapterInUseIsNotEvicted(t *testing.T) {
	planner := newPlanner(1000, "a", "b", "c", "d")
	planner.RequestAdapter(10_000, adapter("e"), 0, 1, 20_000)
	inUse := func(used platformapi.Adapter) int {
		if used.Name == "c" {
			return 0
		}
		return 1
	}
	_, ok, at := planner.NextOrder(10_000, func(platformapi.Adapter) int { return 1 }, noVersion, idleStore, true)
	require.False(t, ok)
	require.Greater(t, at, clock.Millis(10_000), "it retries")
	order, ok, _ := planner.NextOrder(10_100, inUse, noVersion, idleStore, true)
	require.True(t, ok)
	require.Equal(t, platformapi.Order{Adapter: adapter("c")}, order)
	planner.HandleResult(10_100, order, platformapi.NothingToDo, idleStore)
	order, _, _ = planner.NextOrder(10_110, inUse, noVersion, idleStore, true)
	require.Equal(t, platformapi.Order{Load: true, Adapter: adapter("e")}, order)
}

func TestLeastUsedAdapterIsEvicted(t *testing.T) {
	planner := newPlanner(1000, "a", "b", "c", "d")
	for i, name := range []string{"a", "b", "c", "d"} {
		planner.RecordUse(2000, adapter(name), 1+(i+2)%4)
	}
	planner.RequestAdapter(10_000, adapter("e"), 0, 1, 20_000)
	order, _, _ := planner.NextOrder(10_000, noUses, noVersion, idleStore, true)
	require.Equal(t, platformapi.Order{Adapter: adapter("c")}, order)
}

func TestMostUrgentAdapterIsLoadedFirst(t *testing.T) {
	planner := newPlanner(1000)
	planner.RequestAdapter(1000, adapter("a"), 0, 2, 9000)
	planner.RequestAdapter(1001, adapter("b"), 0, 0, 9000)
	order, _, _ := planner.NextOrder(1002, noUses, noVersion, idleStore, true)
	require.Equal(t, adapter("b"), order.Adapter)
}

// TestOneLoadAtATimeWhileStoreIsSaturated: a saturated weight store sends each server one
// adapter at a time.
func TestOneLoadAtATimeWhileStoreIsSaturated(t *testing.T) {
	for inFlight, most := range map[int]int{4: 4, 16: 1} {
		saturated := loading.Traffic{InFlight: inFlight, Servers: 8}
		planner := newPlanner(1000)
		for _, name := range []string{"a", "b", "c", "d"} {
			planner.RequestAdapter(1000, adapter(name), 0, 0, 9000)
		}
		loads := 0
		for {
			order, ok, _ := planner.NextOrder(1000, noUses, noVersion, saturated, true)
			if !ok {
				break
			}
			loads++
			planner.HandleResult(1000, order, platformapi.Accepted, saturated)
		}
		require.Equal(t, most, loads, "loads in flight: %d", inFlight)
	}
}

// TestUnansweredLoadKeepsItsSlot: a load without an answer may have been accepted, and one
// load more than the adapter slots would crash the server.
func TestUnansweredLoadKeepsItsSlot(t *testing.T) {
	planner := newPlanner(1000, "a", "b", "c")
	planner.RequestAdapter(1000, adapter("d"), 0, 0, 9000)
	order, _, _ := planner.NextOrder(1000, noUses, noVersion, idleStore, true)
	planner.HandleResult(1000, order, platformapi.Unknown, idleStore)
	planner.RequestAdapter(1100, adapter("e"), 0, 0, 9000)
	order, ok, _ := planner.NextOrder(1200, noUses, noVersion, idleStore, true)
	require.True(t, ok)
	require.Equal(t, adapter("d"), order.Adapter, "the order is repeated")
	planner.HandleResult(1200, order, platformapi.NothingToDo, idleStore)
	order, ok, _ = planner.NextOrder(2000, noUses, noVersion, idleStore, true)
	require.True(t, ok)
	require.False(t, order.Load, "there is no room for e: %v", order)
}

// TestReportIsNotReadWhileLateOrderMayBeCarriedOut guards against a report that does not show an adapter whose load arrives after it.
func TestReportIsNotReadWhileLateOrderMayBeCarriedOut(t *testing.T) {
	planner := newPlanner(1000, "a")
	planner.RequestAdapter(1000, adapter("d"), 0, 0, 9000)
	order, _, _ := planner.NextOrder(1000, noUses, noVersion, idleStore, true)
	planner.HandleResult(1000, order, platformapi.Unknown, idleStore)
	planner.InvalidateReport()
	needed, _ := planner.NeedsReport()
	require.False(t, needed)
	order, ok, _ := planner.NextOrder(1200, noUses, noVersion, idleStore, true)
	require.True(t, ok)
	require.Equal(t, platformapi.Order{Load: true, Adapter: platformapi.Adapter{Model: "m"}}, order, "changes nothing")
	planner.HandleResult(1200, order, platformapi.NothingToDo, idleStore)
	needed, from := planner.NeedsReport()
	require.True(t, needed)
	require.Equal(t, 1200+loading.DefaultOptions().ReportLag, from)
}

// TestUnloadInProgressKeepsItsSlot: the server counts an adapter until its requests end.
func TestUnloadInProgressKeepsItsSlot(t *testing.T) {
	planner := newPlanner(1000, "a", "b", "c", "d")
	planner.RequestAdapter(10_000, adapter("e"), 0, 0, 20_000)
	order, _, _ := planner.NextOrder(10_000, noUses, noVersion, idleStore, true)
	require.False(t, order.Load)
	planner.HandleResult(10_000, order, platformapi.Accepted, idleStore)
	next, ok, at := planner.NextOrder(10_001, noUses, noVersion, idleStore, true)
	for range 5 { // NextOrder is also called to try the requested adapter again
		if ok {
			break
		}
		next, ok, at = planner.NextOrder(at, noUses, noVersion, idleStore, true)
	}
	require.Equal(t, order, next, "the unload is checked, and nothing else is ordered")
}

// TestNewVersionIsLoadedWhereItIsUsed: an adapter in use is replaced by its newer version; one
// that is not in use is unloaded, and takes no slot with its old version.
func TestNewVersionIsLoadedWhereItIsUsed(t *testing.T) {
	planner := newPlanner(1000, "a", "b")
	newest := func(named platformapi.Adapter) int { return map[string]int{"a": 2, "b": 3}[named.Name] }
	inUse := func(used platformapi.Adapter) int { return map[string]int{"a": 1}[used.Name] }
	orders := make(map[string]platformapi.Order)
	for range 2 {
		order, ok, _ := planner.NextOrder(2000, inUse, newest, idleStore, true)
		require.True(t, ok)
		orders[order.Adapter.Name] = order
		planner.HandleResult(2000, order, platformapi.NothingToDo, idleStore)
	}
	require.Equal(t, platformapi.Order{Load: true, Adapter: adapter("a"), Version: 2}, orders["a"])
	require.Equal(t, platformapi.Order{Adapter: adapter("b")}, orders["b"], "an adapter that is not in use is unloaded")
}

// server simulates a model engine.
type server struct {
	held map[string]clock.Millis // when the load ends
	runs map[string]int
}

func (server *server) take(t *rapid.T, now clock.Millis, order platformapi.Order) platformapi.Result {
	name := order.Adapter.Name
	until, known := server.held[name]
	switch {
	case !order.Load && server.runs[name] > 0:
		return platformapi.Accepted
	case !order.Load:
		delete(server.held, name)
		return platformapi.NothingToDo
	case known && now >= until:
		return platformapi.NothingToDo
	case known:
		return platformapi.Accepted
	}
	server.held[name] = now + clock.Millis(rapid.IntRange(20, 900).Draw(t, "load"))
	return platformapi.Accepted
}

// TestAdapterSlotsAreNeverExceeded draws requested adapters, uses, and lost orders and answers.
// A server that is ordered to load an adapter too many crashes.
func TestAdapterSlotsAreNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := clock.Millis(1000)
		planner := newPlanner(now)
		engine := &server{held: make(map[string]clock.Millis), runs: make(map[string]int)}
		uses := func(used platformapi.Adapter) int { return engine.runs[used.Name] }
		for range rapid.IntRange(20, 300).Draw(t, "steps") {
			now += clock.Millis(rapid.IntRange(1, 200).Draw(t, "gap"))
			name := fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "adapter"))
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				planner.RequestAdapter(now, adapter(name), 0, rapid.IntRange(0, 2).Draw(t, "rank"), now+2000)
			case 1:
				if at, ok := engine.held[name]; ok && now >= at {
					engine.runs[name]++
					planner.RecordUse(now, adapter(name), 1)
				}
			case 2:
				engine.runs[name] = 0
			}
			order, ok, _ := planner.NextOrder(now, uses, noVersion, idleStore, true)
			if !ok {
				continue
			}
			result := platformapi.Unknown
			reached := rapid.IntRange(0, 9).Draw(t, "reached") > 1
			if reached {
				result = engine.take(t, now, order)
			}
			if rapid.IntRange(0, 9).Draw(t, "answered") < 2 {
				result = platformapi.Unknown
			}
			planner.HandleResult(now, order, result, idleStore)
			require.LessOrEqual(t, len(engine.held), adapterSlots)
		}
	})
}

// TestRefusedAdapterKeepsItsSlot: a server also refuses a request if it holds another version
// of the adapter than expected. The slot stays taken until an order has been answered, as a
// load beyond the adapter slots would crash the server.
func TestRefusedAdapterKeepsItsSlot(t *testing.T) {
	held := []string{"a", "b", "c", "e"}
	require.Len(t, held, limits.AdapterSlots)
	planner := newPlanner(1000, held...)
	planner.MarkMissing(10_000, adapter("a"))
	planner.RequestAdapter(10_000, adapter("d"), 0, 0, 20_000)
	order, ok, _ := planner.NextOrder(10_000, noUses, noVersion, idleStore, true)
	require.True(t, ok)
	require.Equal(t, platformapi.Order{Load: true, Adapter: adapter("a"), Version: 1}, order, "the refused adapter is checked first")
	planner.HandleResult(10_000, order, platformapi.NothingToDo, idleStore)
	order, ok, _ = planner.NextOrder(20_000-1, noUses, noVersion, idleStore, true)
	require.True(t, ok)
	require.False(t, order.Load, "one of the four has to be unloaded")
}
