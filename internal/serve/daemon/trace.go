package daemon

import (
	"context"
	"log/slog"

	"teaselmoor/internal/decide/effect"
	"teaselmoor/internal/decide/owner"
)

// The lines below follow a request through the daemons: Request is the caller's
// id, Stream that of an attempt, which engines know as the run id. They are made
// at level Debug only, because there are several for each request.

func (daemon *Daemon) debugs() bool {
	return daemon.options.Log.Enabled(context.Background(), slog.LevelDebug)
}

// logEnd notes the end of a request at its entry.
func (daemon *Daemon) logEnd(ended effect.Answer) {
	if !daemon.debugs() {
		return
	}
	daemon.options.Log.Debug("request ended", "Request", ended.Record.Request, "Stream", ended.Stream.String(),
		"Outcome", ended.Outcome.Kind, "Reason", ended.Outcome.Reason)
}

// logRun notes the end of an engine call at the engine's owner.
func (daemon *Daemon) logRun(start effect.StartRun, result owner.Result) {
	if !daemon.debugs() {
		return
	}
	daemon.options.Log.Debug("run ended", "Request", start.Request.ID, "Stream", start.Stream.String(),
		"Engine", start.Engine, "Adapter", start.Request.Adapter.String(), "Fence", start.Fence, "Result", result)
}
