package daemon

import (
	"context"

	"teaselmoor/internal/backend/engine"
	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/decide/effect"
	"teaselmoor/internal/decide/message"
	"teaselmoor/internal/decide/node"
	"teaselmoor/internal/decide/outcome"
	"teaselmoor/internal/decide/owner"
)

// perform carries out one effect. It does not block: calls to engines, services and the
// platform run in goroutines of their own.
func (daemon *Daemon) perform(next effect.Effect) {
	switch next := next.(type) {
	case effect.Send:
		daemon.send(next)
	case effect.Answer:
		daemon.answer(next)
	case effect.ForwardAnswer:
		daemon.forwardAnswer(next)
	case effect.Rebind:
		daemon.streams.rebind(next.From, next.To)
	case effect.StartRun:
		daemon.tasks.Go("run", func(ctx context.Context) error { daemon.run(ctx, next); return nil })
	case effect.CancelRun:
		daemon.tasks.Go("cancel", func(ctx context.Context) error { daemon.cancelRun(ctx, next); return nil })
	case effect.Load:
		daemon.tasks.Go("load", func(ctx context.Context) error { daemon.load(ctx, next); return nil })
	case effect.Unload:
		daemon.tasks.Go("unload", func(ctx context.Context) error { daemon.unload(ctx, next); return nil })
	case effect.ReadEngine:
		daemon.tasks.Go("report", func(ctx context.Context) error { daemon.readEngine(ctx, next); return nil })
	case effect.ReadVMList:
		daemon.tasks.Go("VM list", func(ctx context.Context) error { daemon.readVMList(ctx); return nil })
	case effect.CallService:
		daemon.tasks.Go("service", func(ctx context.Context) error { daemon.callService(ctx, next); return nil })
	case effect.WatchConfig:
		daemon.tasks.Go("configuration watch", func(ctx context.Context) error { daemon.watchConfig(ctx, next); return nil })
	case effect.ReadConfigPart:
		daemon.tasks.Go("configuration part", func(ctx context.Context) error { daemon.readConfigPart(ctx, next); return nil })
	case effect.AssembleConfig:
		daemon.tasks.Go("configuration assembly", func(context.Context) error {
			daemon.enqueue(highPriority, node.Assemble(next))
			return nil
		})
	case effect.Audit:
		daemon.options.Audit.AddChange(next)
	}
}

// send sends a message to a peer. A Submit that could not be sent certainly did not reach
// the peer, so the entry is notified at once that the attempt was refused.
func (daemon *Daemon) send(next effect.Send) {
	submit, isSubmit := next.Message.(message.Submit)
	if isSubmit && submit.Resume {
		submit.Received = daemon.answerReceived(submit.Stream).Chunks
		next.Message = submit
	}
	if daemon.links.Send(next.To, next.Message) || !isSubmit {
		return
	}
	ended := message.Ended{
		Stream: submit.Stream, Class: submit.Request.Class,
		Outcome: outcome.Refused(outcome.NoOwner, 0),
	}
	if submit.Entry != "" && submit.Entry != daemon.Self() {
		daemon.links.Send(submit.Entry, ended)
		return
	}
	daemon.enqueue(priorityOf(submit.Lane()), node.MessageReceived{From: next.To, Message: ended})
}

func priorityOf(lane message.Lane) jobPriority {
	if lane == message.RoutineLane {
		return lowPriority
	}
	return highPriority
}

// answer ends a request at its entry: it passes the outcome to the caller, and audits
// every outcome other than Answered.
func (daemon *Daemon) answer(next effect.Answer) {
	if next.Outcome.Kind != outcome.Answered {
		daemon.options.Audit.AddRefusal(next.Record)
	}
	daemon.logEnd(next)
	pending, found := daemon.streams.removePending(next.Stream)
	if !found {
		return
	}
	pending.Inbox.PutFinal(next)
}

func (daemon *Daemon) engineAddress(name ident.EngineID) (string, bool) {
	snapshot := daemon.Config()
	if snapshot == nil {
		return "", false
	}
	found, known := snapshot.Engine(name)
	if !known {
		return "", false
	}
	return found.Address, true
}

// run sends a run to the engine, relays the answer and queues the end of the run.
func (daemon *Daemon) run(ctx context.Context, start effect.StartRun) {
	result := owner.ResultNotSent
	sink := daemon.newSink(start)
	if address, known := daemon.engineAddress(start.Engine); known && daemon.notExpired(start.ExpiresAt) {
		result = daemon.options.Engines.Run(ctx, address, start, sink)
	}
	daemon.logRun(start, result)
	ended := node.RunEnded{Engine: start.Engine, Result: owner.RunResult{
		Stream: start.Stream, Result: result, Chunks: sink.index,
	}}
	daemon.streams.removeWindow(start.Stream)
	if sink.window.WasReset() {
		cancel := message.Cancel{Stream: start.Stream, Engine: start.Engine, Class: start.Request.Class}
		daemon.enqueue(priorityOf(sink.lane), node.MessageReceived{From: start.Entry, Message: cancel})
	}
	if start.Entry == daemon.Self() {
		daemon.enqueue(priorityOf(sink.lane), daemon.answerReceived(start.Stream), ended)
		return
	}
	daemon.enqueue(priorityOf(sink.lane), ended)
}

// answerReceived returns how much of a stream's answer has arrived at this entry.
func (daemon *Daemon) answerReceived(stream ident.StreamID) node.AnswerReceived {
	pending, found := daemon.streams.findPending(stream)
	if !found {
		return node.AnswerReceived{Stream: stream}
	}
	return node.AnswerReceived{Stream: stream, Chunks: pending.Inbox.Chunks(), Stored: pending.Inbox.Content()}
}

func (daemon *Daemon) cancelRun(ctx context.Context, cancel effect.CancelRun) {
	address, known := daemon.engineAddress(cancel.Engine)
	if !known {
		return
	}
	result := daemon.options.Engines.Cancel(ctx, address, cancel.Stream, cancel.Fence)
	if result == owner.ResultCancelled {
		daemon.enqueue(highPriority, node.RunEnded{
			Engine: cancel.Engine, Result: owner.RunResult{Stream: cancel.Stream, Result: result},
		})
	}
}

// notExpired reports whether an order may still be sent to an engine. It is called
// directly before the order is sent, because the process may have been paused since the
// decision. An expiry time of zero means that the order does not expire.
func (daemon *Daemon) notExpired(expiresAt clock.Millis) bool {
	return expiresAt == 0 || daemon.options.Now() <= expiresAt
}

func (daemon *Daemon) load(ctx context.Context, order effect.Load) {
	result := engine.LoadFailed
	if address, known := daemon.engineAddress(order.Engine); known && daemon.notExpired(order.ExpiresAt) {
		result = daemon.options.Engines.Load(ctx, address, order.Adapter, order.Fence)
	}
	daemon.enqueue(highPriority, node.LoadEnded{
		Engine: order.Engine, Adapter: order.Adapter,
		Failed: result != engine.LoadDone, Fenced: result == engine.LoadFenced,
	})
}

func (daemon *Daemon) unload(ctx context.Context, order effect.Unload) {
	result := engine.LoadFailed
	if address, known := daemon.engineAddress(order.Engine); known && daemon.notExpired(order.ExpiresAt) {
		result = daemon.options.Engines.Unload(ctx, address, order.Adapter, order.Fence)
	}
	daemon.enqueue(highPriority, node.UnloadEnded{
		Engine: order.Engine, Adapter: order.Adapter,
		Failed: result != engine.LoadDone, Fenced: result == engine.LoadFenced,
	})
}

// readEngine reads an engine's report and queues it. At most one read of an engine is in
// flight, so that reads of an engine that does not answer do not accumulate.
func (daemon *Daemon) readEngine(ctx context.Context, read effect.ReadEngine) {
	address, known := daemon.engineAddress(read.Engine)
	if !known || !daemon.reportReads.add(read.Engine) {
		return
	}
	defer daemon.reportReads.remove(read.Engine)
	report, err := daemon.options.Engines.ReadState(ctx, address)
	if err != nil {
		daemon.options.Log.Warn("reading the engine report failed", "Engine", read.Engine, "Cause", err)
		return
	}
	daemon.enqueue(highPriority, node.EngineReported{Engine: read.Engine, Report: report, AskedAt: read.At})
}

func (daemon *Daemon) callService(ctx context.Context, next effect.CallService) {
	pending, found := daemon.streams.findPending(next.Stream)
	if !found {
		return
	}
	call := pending.Call
	call.Address = next.Address
	stored, ended := daemon.options.Services.Do(ctx, call)
	daemon.enqueue(highPriority, node.ServiceEnded{Stream: next.Stream, Outcome: ended, Stored: stored})
}
