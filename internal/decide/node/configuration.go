package node

import (
	"teaselmoor/internal/control/config"
	"teaselmoor/internal/decide/effect"
	"teaselmoor/internal/decide/rollout"
)

// ConfigWatched carries the result of a WatchConfig effect.
type ConfigWatched struct{ Result rollout.WatchResult }

// ConfigPartRead carries the result of a ReadConfigPart effect.
type ConfigPartRead struct {
	Name   string
	Body   []byte
	Failed bool
}

// ConfigAssembled carries the result of an AssembleConfig effect.
type ConfigAssembled struct {
	Mark config.Mark
	// Snapshot is nil if the configuration was rejected; Cause is then the reason.
	Snapshot *config.Snapshot
	Cause    string
}

func (ConfigWatched) event()   {}
func (ConfigPartRead) event()  {}
func (ConfigAssembled) event() {}

// Assemble carries out an AssembleConfig effect. It is slow for a full-size
// configuration and does not use the node, so the runtime calls it on a separate
// goroutine.
func Assemble(order effect.AssembleConfig) ConfigAssembled {
	assembled := ConfigAssembled{Mark: order.Mark}
	var earlier config.ParsedParts
	if order.Previous != nil {
		earlier = order.Previous.ParsedParts
	}
	document, parsedParts, err := config.AssembleFrom(earlier, order.Manifest, order.Parts)
	if problems := config.CheckSuccessor(order.Previous, document); err == nil && len(problems) > 0 {
		err = problems
	}
	if err == nil {
		assembled.Snapshot, err = config.Compile(document)
	}
	if err == nil {
		assembled.Snapshot.ParsedParts = parsedParts
	}
	if err != nil {
		assembled.Snapshot, assembled.Cause = nil, err.Error()
	}
	return assembled
}

// configEffects emits the rollout's effects and applies the configuration that it
// has accepted.
func (node *Node) configEffects(effects []effect.Effect) {
	node.emit(effects...)
	if snapshot := node.rollout.Snapshot(); snapshot != node.config {
		node.config = snapshot
		node.rankCandidates()
	}
}

// ConfigMark returns the mark of the configuration in force.
func (node *Node) ConfigMark() config.Mark {
	return node.rollout.Mark()
}
