// Package daemons_test holds the proofs with real processes: daemons that are
// killed, frozen and cut off from each other, judged by the engines' ledgers.
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

// longTokens is the length of an answer that a fault shall meet halfway.
const longTokens = 400

// oneEngine returns a site of three daemons before one engine, whose answers
// take long enough to be interrupted.
func oneEngine() site.Options {
	options := site.DefaultOptions()
	options.Engines = 1
	options.Engine.StepInterval = 5 * time.Millisecond
	options.Engine.AllowsUnloadInUse = true
	return options
}

// ownerAndEntry returns the engine's owner and another daemon.
func ownerAndEntry(running *harness.Site) (owner, entry int) {
	running.WaitFor("an owner", func() bool { return running.OwnerOf(onlyEngine) >= 0 })
	owner = running.OwnerOf(onlyEngine)
	return owner, running.OtherThan(owner)
}

// readSome reads the first tokens of a streamed answer.
func readSome(open *harness.Open) {
	for range 5 {
		if _, more := open.Next(); !more {
			return
		}
	}
}
