package gateway

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"

	"teaselmoor/internal/direct/account"
)

// maxPromptAccounts is the number of accounts that the metrics on waiting prompts name.
const maxPromptAccounts = 20

// noAccount is the label of prompts without an account.
const noAccount = "none"

// writePromptAccounts writes the accounts with the most prompts that wait for a grant at this owner.
// The names of accounts do not travel: those that this daemon's configuration does not list are
// named by their hashes.
func (core *core) writePromptAccounts(out io.Writer) {
	waiting, directory := core.promptAccounts()
	if directory == nil || len(waiting) == 0 {
		return
	}
	most := slices.SortedFunc(maps.Keys(waiting), func(a, b uint64) int {
		return cmp.Or(cmp.Compare(waiting[b], waiting[a]), cmp.Compare(a, b))
	})
	most = most[:min(len(most), maxPromptAccounts)]
	names := directory.NamesOf(most)
	for _, hash := range most {
		name, listed := names[hash]
		switch {
		case hash == 0:
			name = noAccount
		case !listed:
			name = fmt.Sprintf("%016x", hash)
		}
		_, _ = fmt.Fprintf(out, "teaselmoor_account_prompts_waiting{account=%q} %d\n", name, waiting[hash]) // the collector may have disconnected
	}
}

// promptAccounts returns the number of prompts that wait for a grant at this owner, by hash of the
// account, and the accounts of the configuration; nil: it lists none.
func (core *core) promptAccounts() (map[uint64]int, *account.Directory) {
	core.mutex.Lock()
	defer core.mutex.Unlock()
	if core.catalog == nil || core.catalog.Accounts == nil || !core.options.Turns.FairAccounts {
		return nil, nil
	}
	waiting := make(map[uint64]int)
	for _, worker := range core.orderWorkers {
		for hash, count := range worker.prompts.WaitingByAccount() {
			waiting[hash] += count
		}
	}
	return waiting, core.catalog.Accounts
}
