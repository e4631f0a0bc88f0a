package daemon

import (
	"context"
	"log/slog"

	"teaselmoor/internal/decide/effect"
	"teaselmoor/internal/decide/owner"
)

// The log lines of this file trace a request through the daemons: Request is the request
// id that the caller sees, and Stream the id of an attempt, which engines know as the run
// id. They have level Debug because there are several for each request.

func (daemon *Daemon) debugEnabled() bool {
	return daemon.options.Log.Enabled(context.Background(), slog.LevelDebug)
}

// logEnd logs the end of a request at its entry.
func (daemon *Daemon) logEnd(ended effect.Answer) {
	if !daemon.debugEnabled() {
		return
	}
	daemon.options.Log.Debug("request ended", "Request", ended.Record.Request, "Stream", ended.Stream.String(),
		"Outcome", ended.Outcome.Kind, "Reason", ended.Outcome.Reason)
}

// logRun logs the end of an engine call at the engine's owner.
func (daemon *Daemon) logRun(start effect.StartRun, result owner.Result) {
	if !daemon.debugEnabled() {
		return
	}
	daemon.options.Log.Debug("run ended", "Request", start.Request.ID, "Stream", start.Stream.String(),
		"Engine", start.Engine, "Adapter", start.Request.Adapter.String(), "Fence", start.Fence, "Result", result)
}
