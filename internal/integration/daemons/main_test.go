// Package daemons_test tests daemons as real processes that are killed, frozen and
// cut off from each other. Results are checked against the engines' ledgers.
package daemons_test

import (
	"os"
	"testing"
	"time"

	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/integration/harness"
	"teaselmoor/internal/standin/site"
)

func TestMain(m *testing.M) {
	code := m.Run()
	harness.RemoveBinaries()
	os.Exit(code)
}

const onlyEngine = ident.EngineID("engine-0")

// longTokens is the length of an answer that is long enough for a fault to occur in
// the middle.
const longTokens = 400

// oneEngineOptions returns the options of a site of three daemons and one engine,
// whose answers take long enough to be interrupted.
func oneEngineOptions() site.Options {
	options := site.DefaultOptions()
	options.Engines = 1
	options.Engine.StepInterval = 5 * time.Millisecond
	options.Engine.AllowsUnloadInUse = true
	return options
}

// ownerAndEntry waits until the engine has an owner and returns the indices of the
// owner and of another daemon.
func ownerAndEntry(testSite *harness.Site) (owner, entry int) {
	testSite.WaitFor("an owner", func() bool { return testSite.OwnerOf(onlyEngine) >= 0 })
	owner = testSite.OwnerOf(onlyEngine)
	return owner, testSite.OtherThan(owner)
}

// readFirstTokens reads the first tokens of a streamed answer.
func readFirstTokens(openCall *harness.OpenCall) {
	for range 5 {
		if _, more := openCall.ReadToken(); !more {
			return
		}
	}
}
