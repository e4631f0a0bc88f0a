package node_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/control/members"
	"teaselmoor/internal/decide/message"
	"teaselmoor/internal/decide/node"
	"teaselmoor/internal/decide/nodetest"
	"teaselmoor/internal/decide/outcome"
)

// longRun is a long run on an engine whose owner is not the entry.
type longRun struct {
	network    *nodetest.Network
	entry      ident.DaemonID
	submits    []message.Submit
	cancels    []ident.DaemonID // daemons that were sent a cancel
	lastSubmit message.Submit   // the last submit that was not a resume
	owner      ident.DaemonID   // the receiver of lastSubmit
}

// startLongRun sends a request for a model and returns once the engine has started to
// run it.
func startLongRun(t *testing.T, model string) *longRun {
	t.Helper()
	network := newNetwork(t, 4, 1)
	network.Engines["engine-0"].SetRunDuration(4 * clock.Second)
	longRun := &longRun{network: network}
	network.OnSend = func(_, to ident.DaemonID, sent message.Message) {
		switch sent := sent.(type) {
		case message.Submit:
			longRun.submits = append(longRun.submits, sent)
			if !sent.Resume {
				longRun.lastSubmit, longRun.owner = sent, to
			}
		case message.Cancel:
			longRun.cancels = append(longRun.cancels, to)
		}
	}
	network.Run(10 * clock.Second)
	for _, name := range network.HostNames() {
		if len(network.Nodes[name].Node.Status(network.Now).Owned) == 0 {
			longRun.entry = name
		}
	}
	network.SendRequest(longRun.entry, node.RequestArrived{
		RequestID: "r", APIKey: callerKey, Model: model, Path: "/v1/completions",
		Key: "k", KeyIssuedAt: network.Now, BodyHash: "h",
	})
	runStarted := network.RunUntil(5*clock.Second, func() bool { return network.Engines["engine-0"].RunsStarted["r"] == 1 })
	require.True(t, runStarted)
	return longRun
}

func (longRun *longRun) handleEvent(event node.Event) {
	longRun.network.HandleEvent(longRun.network.Nodes[longRun.entry], event)
}

// killOwner kills the engine's owner and removes it from the VM list.
func (longRun *longRun) killOwner() {
	longRun.network.Kill(longRun.owner)
	var remaining []members.VM
	for _, vm := range longRun.network.VMs() {
		if vm.Name != string(longRun.owner) {
			remaining = append(remaining, vm)
		}
	}
	longRun.network.SetVMs(remaining)
}

func (longRun *longRun) requireAnswered(t *testing.T, want outcome.Outcome) {
	t.Helper()
	longRun.network.Run(30 * clock.Second)
	require.Len(t, longRun.network.Answers["r"], 1)
	require.Equal(t, want, longRun.network.Answers["r"][0].Outcome)
	require.Equal(t, 1, longRun.network.Engines["engine-0"].RunsStarted["r"], "runs")
}

// TestLostRunIsResumed kills the owner of an engine during a run that must not be
// started again, because its rule forbids it or its answer has begun.
func TestLostRunIsResumed(t *testing.T) {
	for name, model := range map[string]string{"not repeatable": "quote-1@1", "answer begun": "review-1@1"} {
		t.Run(name, func(t *testing.T) {
			longRun := startLongRun(t, model)
			if model == "review-1@1" {
				longRun.handleEvent(node.AnswerStarted{Stream: longRun.lastSubmit.Stream, From: longRun.owner, Status: 200})
			}
			longRun.killOwner()
			longRun.requireAnswered(t, outcome.Done())
			last := longRun.submits[len(longRun.submits)-1]
			require.True(t, last.Resume)
			require.Equal(t, longRun.lastSubmit.Stream, last.Stream, "the resumed run must have the same id")
			require.NotZero(t, last.PriorFence)
		})
	}
}

// TestMissingChunksEndAsTruncated checks the outcome when fewer chunks arrived than
// the owner sent.
func TestMissingChunksEndAsTruncated(t *testing.T) {
	longRun := startLongRun(t, "quote-1@1")
	longRun.handleEvent(node.AnswerStarted{Stream: longRun.lastSubmit.Stream, From: longRun.owner, Status: 200})
	longRun.handleEvent(node.AnswerReceived{Stream: longRun.lastSubmit.Stream, Chunks: 2})
	longRun.requireAnswered(t, outcome.MayHaveRun(outcome.Truncated))
}

// TestOrphanIsCancelled disconnects the caller while the owner of its run is dead,
// and checks that the next owner is asked to cancel the run.
func TestOrphanIsCancelled(t *testing.T) {
	longRun := startLongRun(t, "quote-1@1")
	longRun.killOwner()
	longRun.network.Run(10)
	longRun.handleEvent(node.CallerDisconnected{Stream: longRun.lastSubmit.Stream})
	require.Equal(t, outcome.MayHaveRun(outcome.CallerGone), longRun.network.Answers["r"][0].Outcome, "the caller is answered at once")
	longRun.network.Run(20 * clock.Second)
	require.NotEmpty(t, longRun.cancels)
	require.NotEqual(t, longRun.owner, longRun.cancels[len(longRun.cancels)-1], "the cancel must go to the next owner")
}
