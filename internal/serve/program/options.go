package program

import (
	"context"
	"log/slog"

	"teaselmoor/internal/backend/engine"
	"teaselmoor/internal/backend/service"
	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/base/ident"
	"teaselmoor/internal/base/settings"
	"teaselmoor/internal/control/audit"
	"teaselmoor/internal/control/config"
	"teaselmoor/internal/decide/home"
	"teaselmoor/internal/decide/node"
	"teaselmoor/internal/decide/ownership"
	"teaselmoor/internal/decide/rollout"
	"teaselmoor/internal/inner/link"
	"teaselmoor/internal/serve/callers"
)

// Options holds the options of a daemon's components that come from its settings.
type Options struct {
	Node     node.Options
	Engines  engine.Options
	Services service.Options
	Timing   link.Timing
	Callers  callers.Options
	Audit    audit.Options
}

// OptionsFromSettings converts settings to the options of the components. An option without
// a setting keeps its default.
func OptionsFromSettings(settings settings.Settings) Options {
	return Options{
		Node: nodeOptions(settings),
		Engines: engine.Options{
			DialTimeout: settings.Engines.DialTimeoutMillis, HeadTimeout: settings.Engines.HeadTimeoutMillis,
			LoadTimeout: settings.Engines.LoadTimeoutMillis, CancelTimeout: settings.Engines.CancelTimeoutMillis,
			ReportTimeout:      settings.Engines.ReportTimeoutMillis,
			MaxIdleConnections: settings.Engines.MaxIdleConnections, MaxAnswerBytes: settings.Engines.MaxAnswerBytes,
		},
		Services: service.Options{
			DialTimeout: settings.Services.DialTimeoutMillis, Timeout: settings.Services.TimeoutMillis,
			MaxIdleConnections: settings.Services.MaxIdleConnections, MaxAnswerBytes: settings.Services.MaxAnswerBytes,
		},
		Timing: link.Timing{
			PingInterval: settings.Peers.PingMillis, SilenceTimeout: settings.Peers.SilenceMillis, RedialInterval: settings.Peers.RedialMillis,
		},
		Callers: callers.Options{MaxBodyBytes: settings.Callers.MaxBodyBytes, MaxKeyBytes: settings.Callers.MaxKeyBytes, BodyTimeout: settings.Callers.BodyTimeoutMillis},
		Audit: audit.Options{
			Daemon:  ident.DaemonID(settings.Name),
			Changes: settings.Operators.AuditChanges, Refusals: settings.Operators.AuditRefusals,
			Pending: settings.Operators.AuditPending,
		},
	}
}

func rolloutOptions(settings settings.Rollout) rollout.Options {
	return rollout.Options{
		Watchers: settings.Watchers, WatchWait: settings.WatchWaitMillis,
		RetryInterval: settings.RetryIntervalMillis, MaxRetryInterval: settings.MaxRetryIntervalMillis,
		PollInterval: settings.PollIntervalMillis, ContactTimeout: settings.ContactTimeoutMillis,
		OfferInterval: settings.OfferIntervalMillis, FetchTimeout: settings.FetchTimeoutMillis,
		InquiryTimeout: settings.InquirySpanMillis,
	}
}

func homeOptions(settings settings.Settings) home.Options {
	return home.Options{
		Retention: settings.Keys.RetentionMillis, ClockMargin: settings.Keys.ClockMarginMillis,
		MaxListAge: settings.Keys.ViewAgeMillis, ListLag: settings.Ownership.ListLagMillis,
		CopyTimeout: settings.Keys.CopySpanMillis, CopyInterval: settings.Keys.CopyIntervalMillis,
		MaxRecords: settings.Keys.MaxRecords, MaxStoredBytes: settings.Keys.MaxStoredBytes, MaxAnswerBytes: settings.Keys.MaxAnswerBytes,
	}
}

func ownershipOptions(settings settings.Ownership) ownership.Options {
	return ownership.Options{
		MaxListAge: settings.ViewAgeMillis, ListLag: settings.ListLagMillis, ClockMargin: settings.ClockMarginMillis,
		MaxHandoverAge: settings.HandoverSpanMillis, MaxOrderDelay: settings.OrderSpanMillis,
		ReportLag: settings.ReportLagMillis, SilenceTimeout: settings.SuspicionMillis, MaxStepGap: settings.PauseMillis,
	}
}

func nodeOptions(settings settings.Settings) node.Options {
	options := node.DefaultOptions()
	options.Rollout = rolloutOptions(settings.Rollout)
	options.Ownership = ownershipOptions(settings.Ownership)
	options.Self = ident.DaemonID(settings.Name)
	options.DataCentre = settings.DataCentre
	options.Region = settings.Region
	options.RetryShare = settings.Runtime.RetryShare
	options.MinUpdateInterval = settings.Engines.StateIntervalMillis
	options.EngineReadInterval = settings.Engines.ReportIntervalMillis
	options.Owner.QueueLimits[config.Urgent] = settings.Queue.UrgentLength
	options.Owner.QueueLimits[config.Routine] = settings.Queue.RoutineLength
	options.Owner.UrgentReserve = settings.Queue.UrgentReserveRuns
	options.Owner.ResumeTries = settings.Queue.ResumeTries
	options.Owner.CancelInterval = settings.Queue.CancelIntervalMillis
	options.Owner.LoadBackoff = settings.Loads.BackoffMillis
	options.Owner.LoadTries = settings.Loads.Tries
	options.Owner.HalfLife = settings.Loads.HalfLifeMillis
	options.Owner.LoadRequestInterval = settings.Loads.AskIntervalMillis
	options.Owner.YieldDelay = settings.Queue.RoomWaitMillis
	options.Owner.MaxUrgentInRow = settings.Queue.RoutineFloor
	options.Loads.LoadDuration = settings.Loads.SpanMillis
	options.Loads.DeadlineMargin = settings.Loads.MarginMillis
	options.Loads.BrokerTimeout = settings.Loads.BrokerSilenceMillis
	options.Loads.MaxUrgentInRow = settings.Loads.RoutineFloor
	options.Loads.Lease = settings.Loads.LeaseMillis
	options.Loads.MaxParallel = settings.Loads.Parallel
	options.Home = homeOptions(settings)
	options.Weights.LoadCost = settings.Placement.LoadCost
	options.Weights.SpareCost = settings.Placement.SpareCost
	options.Weights.AffinitySetSize = settings.Placement.SetSize
	options.Weights.BatchGain = settings.Placement.BatchGain
	options.Weights.AffinityCost = settings.Placement.AffinityCost
	options.Weights.MaxStateAge = settings.Placement.SilenceMillis
	return options
}

// withStart sets the start time of the process and the incarnation number that is
// derived from it.
func withStart(options node.Options) node.Options {
	options.StartedAt = clock.System()
	options.Incarnation = ident.Incarnation(options.StartedAt)
	return options
}

// levels maps the log levels in the settings to those of slog.
var levels = map[string]slog.Level{
	"Debug": slog.LevelDebug, "Info": slog.LevelInfo, "Warn": slog.LevelWarn, "Error": slog.LevelError,
}

// levelHandler drops log lines below minLevel. Audit lines are not written through it.
type levelHandler struct {
	slog.Handler
	minLevel slog.Level
}

// Enabled implements slog.Handler.
func (handler levelHandler) Enabled(ctx context.Context, level slog.Level) bool {
	return level >= handler.minLevel && handler.Handler.Enabled(ctx, level)
}

// WithAttrs implements slog.Handler.
func (handler levelHandler) WithAttrs(attributes []slog.Attr) slog.Handler {
	return levelHandler{Handler: handler.Handler.WithAttrs(attributes), minLevel: handler.minLevel}
}

// WithGroup implements slog.Handler.
func (handler levelHandler) WithGroup(name string) slog.Handler {
	return levelHandler{Handler: handler.Handler.WithGroup(name), minLevel: handler.minLevel}
}
