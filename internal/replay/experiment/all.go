package experiment

import (
	"context"

	"github.com/pkg/errors"

	"teaselmoor/internal/base/task"
)

// RunAll runs replays, as many at a time as there are workers, and returns the
// results in the order of the setups.
func RunAll(ctx context.Context, workers int, setups []Setup) ([]Result, error) {
	group := task.New(ctx)
	results := make([]Result, len(setups))
	next, unfinished := 0, len(setups)
	start := func() {
		index := next
		next++
		group.Go(setups[index].Policy.Name, func(context.Context) error {
			var err error
			results[index], err = Run(setups[index])
			return err
		})
	}
	for next < min(workers, len(setups)) {
		start()
	}
	var failure error
	group.Reap(func(end task.End) {
		unfinished--
		if end.Err != nil {
			failure = errors.Wrap(end.Err, end.Name)
		}
		if failure != nil || unfinished == 0 {
			group.Stop()
		} else if next < len(setups) {
			start()
		}
	})
	if failure == nil {
		failure = ctx.Err()
	}
	return results, failure
}
