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

// perform carries out one effect. It does not block: calls to engines and
// services get goroutines of their own.
func (daemon *Daemon) perform(next effect.Effect) {
	switch next := next.(type) {
	case effect.Send:
		daemon.send(next)
	case effect.Answer:
		daemon.answer(next)
	case effect.ForwardAnswer:
		daemon.open(next)
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
		daemon.tasks.Go("VM list", func(ctx context.Context) error { daemon.readListOnce(ctx); return nil })
	case effect.CallService:
		daemon.tasks.Go("service", func(ctx context.Context) error { daemon.callService(ctx, next); return nil })
	case effect.WatchConfig:
		daemon.tasks.Go("configuration watch", func(ctx context.Context) error { daemon.watchConfig(ctx, next); return nil })
	case effect.ReadConfigPart:
		daemon.tasks.Go("configuration part", func(ctx context.Context) error { daemon.readConfigPart(ctx, next); return nil })
	case effect.AssembleConfig:
		daemon.tasks.Go("configuration assembly", func(context.Context) error {
			daemon.enqueue(promptLane, node.Assemble(next))
			return nil
		})
	case effect.Audit:
		daemon.options.Audit.Change(next)
	}
}

// send passes a message to a peer. A Submit that no connection takes is known
// not to have left, so the entry is told at once.
func (daemon *Daemon) send(next effect.Send) {
	submit, isSubmit := next.Message.(message.Submit)
	if isSubmit && submit.Resume {
		submit.Received = daemon.received(submit.Stream).Chunks
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
	daemon.enqueue(laneOf(submit.Lane()), node.MessageReceived{From: next.To, Message: ended})
}

func laneOf(lane message.Lane) jobLane {
	if lane == message.RoutineLane {
		return routineLane
	}
	return promptLane
}

func (daemon *Daemon) answer(next effect.Answer) {
	if next.Outcome.Kind != outcome.Answered {
		daemon.options.Audit.Refusal(next.Record)
	}
	daemon.logEnd(next)
	ticket, found := daemon.streams.takeTicket(next.Stream)
	if !found {
		return
	}
	ticket.Inbox.PutFinal(next)
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

// run calls the engine, relays the answer and reports its end.
func (daemon *Daemon) run(ctx context.Context, start effect.StartRun) {
	result := owner.ResultNotSent
	sink := daemon.newSink(start)
	if address, known := daemon.engineAddress(start.Engine); known && daemon.inTime(start.ExpiresAt) {
		result = daemon.options.Engines.Run(ctx, address, start, sink)
	}
	daemon.logRun(start, result)
	ended := node.RunEnded{Engine: start.Engine, Result: owner.RunResult{
		Stream: start.Stream, Result: result, Chunks: sink.index,
	}}
	daemon.streams.dropWindow(start.Stream)
	if sink.window.Reset() {
		cancel := message.Cancel{Stream: start.Stream, Engine: start.Engine, Class: start.Request.Class}
		daemon.enqueue(laneOf(sink.lane), node.MessageReceived{From: start.Entry, Message: cancel})
	}
	if start.Entry == daemon.Self() {
		daemon.enqueue(laneOf(sink.lane), daemon.received(start.Stream), ended)
		return
	}
	daemon.enqueue(laneOf(sink.lane), ended)
}

// received says what the entry has of a stream's answer.
func (daemon *Daemon) received(stream ident.StreamID) node.AnswerReceived {
	ticket, found := daemon.streams.ticket(stream)
	if !found {
		return node.AnswerReceived{Stream: stream}
	}
	return node.AnswerReceived{Stream: stream, Chunks: ticket.Inbox.Chunks(), Stored: ticket.Inbox.Content()}
}

func (daemon *Daemon) cancelRun(ctx context.Context, cancel effect.CancelRun) {
	address, known := daemon.engineAddress(cancel.Engine)
	if !known {
		return
	}
	result := daemon.options.Engines.Cancel(ctx, address, cancel.Stream, cancel.Fence)
	if result == owner.ResultCancelled {
		daemon.enqueue(promptLane, node.RunEnded{
			Engine: cancel.Engine, Result: owner.RunResult{Stream: cancel.Stream, Result: result},
		})
	}
}

// inTime reports whether the leave to give an order has not ended. It stands
// directly before the write, because the process may have been paused since the
// decision. Zero means no end.
func (daemon *Daemon) inTime(until clock.Millis) bool {
	return until == 0 || daemon.options.Now() <= until
}

func (daemon *Daemon) load(ctx context.Context, order effect.Load) {
	result := engine.LoadFailed
	if address, known := daemon.engineAddress(order.Engine); known && daemon.inTime(order.ExpiresAt) {
		result = daemon.options.Engines.Load(ctx, address, order.Adapter, order.Fence)
	}
	daemon.enqueue(promptLane, node.LoadEnded{
		Engine: order.Engine, Adapter: order.Adapter,
		Failed: result != engine.LoadDone, Fenced: result == engine.LoadFenced,
	})
}

func (daemon *Daemon) unload(ctx context.Context, order effect.Unload) {
	result := engine.LoadFailed
	if address, known := daemon.engineAddress(order.Engine); known && daemon.inTime(order.ExpiresAt) {
		result = daemon.options.Engines.Unload(ctx, address, order.Adapter, order.Fence)
	}
	daemon.enqueue(promptLane, node.UnloadEnded{
		Engine: order.Engine, Adapter: order.Adapter,
		Failed: result != engine.LoadDone, Fenced: result == engine.LoadFenced,
	})
}

func (daemon *Daemon) readEngine(ctx context.Context, read effect.ReadEngine) {
	address, known := daemon.engineAddress(read.Engine)
	if !known || !daemon.reading.add(read.Engine) {
		return // the former read still waits: a hanging engine has one at most
	}
	defer daemon.reading.remove(read.Engine)
	report, err := daemon.options.Engines.Report(ctx, address)
	if err != nil {
		daemon.options.Log.Warn("engine report", "Engine", read.Engine, "Cause", err)
		return
	}
	daemon.enqueue(promptLane, node.EngineReported{Engine: read.Engine, Report: report, AskedAt: read.At})
}

func (daemon *Daemon) callService(ctx context.Context, next effect.CallService) {
	ticket, found := daemon.streams.ticket(next.Stream)
	if !found {
		return
	}
	call := ticket.Call
	call.Address = next.Address
	stored, ended := daemon.options.Services.Do(ctx, call)
	daemon.enqueue(promptLane, node.ServiceEnded{Stream: next.Stream, Outcome: ended, Stored: stored})
}
