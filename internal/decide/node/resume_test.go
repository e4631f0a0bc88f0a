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

// course is one long run at an engine whose owner is not the entry.
type course struct {
	network *nodetest.Network
	entry   ident.DaemonID
	submits []message.Submit
	cancels []ident.DaemonID // daemons that were sent a cancel
	submit  message.Submit   // the first one
	owner   ident.DaemonID
}

// startCourse sends a request and returns once its engine has begun to run it.
func startCourse(t *testing.T, model string) *course {
	t.Helper()
	network := newNetwork(t, 4, 1)
	network.Engines["engine-0"].SetRunDuration(4 * clock.Second)
	started := &course{network: network}
	network.OnSend = func(_, to ident.DaemonID, sent message.Message) {
		switch sent := sent.(type) {
		case message.Submit:
			started.submits = append(started.submits, sent)
			if !sent.Resume {
				started.submit, started.owner = sent, to
			}
		case message.Cancel:
			started.cancels = append(started.cancels, to)
		}
	}
	network.Run(10 * clock.Second)
	for _, name := range network.HostNames() {
		if len(network.Nodes[name].Node.Status(network.Now).Owned) == 0 {
			started.entry = name
		}
	}
	network.SendRequest(started.entry, node.RequestArrived{
		RequestID: "r", APIKey: callerKey, Model: model, Path: "/v1/completions",
		Key: "k", KeyIssuedAt: network.Now, BodyHash: "h",
	})
	began := network.RunUntil(5*clock.Second, func() bool { return network.Engines["engine-0"].RunsStarted["r"] == 1 })
	require.True(t, began)
	return started
}

func (course *course) feed(event node.Event) {
	course.network.HandleEvent(course.network.Nodes[course.entry], event)
}

// killOwner ends the engine's owner and takes it off the VM list.
func (course *course) killOwner() {
	course.network.Kill(course.owner)
	var left []members.VM
	for _, vm := range course.network.VMs() {
		if vm.Name != string(course.owner) {
			left = append(left, vm)
		}
	}
	course.network.SetVMs(left)
}

func (course *course) requireAnswered(t *testing.T, want outcome.Outcome) {
	t.Helper()
	course.network.Run(30 * clock.Second)
	require.Len(t, course.network.Answers["r"], 1)
	require.Equal(t, want, course.network.Answers["r"][0].Outcome)
	require.Equal(t, 1, course.network.Engines["engine-0"].RunsStarted["r"], "runs")
}

// TestLostRunIsResumed kills the owner of an engine in the middle of a run that
// must not begin again: by its rule, or because its answer has begun.
func TestLostRunIsResumed(t *testing.T) {
	for name, model := range map[string]string{"not repeatable": "quote-1@1", "answer begun": "review-1@1"} {
		t.Run(name, func(t *testing.T) {
			course := startCourse(t, model)
			if model == "review-1@1" {
				course.feed(node.AnswerStarted{Stream: course.submit.Stream, From: course.owner, Status: 200})
			}
			course.killOwner()
			course.requireAnswered(t, outcome.Done())
			last := course.submits[len(course.submits)-1]
			require.True(t, last.Resume)
			require.Equal(t, course.submit.Stream, last.Stream, "the same run id")
			require.NotZero(t, last.PriorFence)
		})
	}
}

// TestGapInAnswer lets an owner send more chunks than arrived.
func TestGapInAnswer(t *testing.T) {
	course := startCourse(t, "quote-1@1")
	course.feed(node.AnswerStarted{Stream: course.submit.Stream, From: course.owner, Status: 200})
	course.feed(node.AnswerReceived{Stream: course.submit.Stream, Chunks: 2})
	course.requireAnswered(t, outcome.Lost(outcome.Truncated))
}

// TestOrphanIsCancelled lets the caller go while the owner of its run is dead.
func TestOrphanIsCancelled(t *testing.T) {
	course := startCourse(t, "quote-1@1")
	course.killOwner()
	course.network.Run(10)
	course.feed(node.CallerDisconnected{Stream: course.submit.Stream})
	require.Equal(t, outcome.Lost(outcome.CallerGone), course.network.Answers["r"][0].Outcome, "at once")
	course.network.Run(20 * clock.Second)
	require.NotEmpty(t, course.cancels)
	require.NotEqual(t, course.owner, course.cancels[len(course.cancels)-1], "the next owner is told")
}
