package node

import (
	"teaselmoor/internal/control/config"
	"teaselmoor/internal/decide/effect"
	"teaselmoor/internal/decide/rollout"
)

// ConfigWatched is the end of a WatchConfig.
type ConfigWatched struct{ Result rollout.WatchResult }

// ConfigPartRead is the end of a ReadConfigPart.
type ConfigPartRead struct {
	Name   string
	Body   []byte
	Failed bool
}

// ConfigAssembled is the end of an AssembleConfig.
type ConfigAssembled struct {
	Mark config.Mark
	// Snapshot is nil when the configuration is refused, for the given cause.
	Snapshot *config.Snapshot
	Cause    string
}

func (ConfigWatched) event()   {}
func (ConfigPartRead) event()  {}
func (ConfigAssembled) event() {}

// Assemble carries out an AssembleConfig. It takes long at full size and needs
// no node, so the runtime calls it on a goroutine of its own.
func Assemble(order effect.AssembleConfig) ConfigAssembled {
	assembled := ConfigAssembled{Mark: order.Mark}
	var earlier config.Pieces
	if order.Previous != nil {
		earlier = order.Previous.Pieces
	}
	document, pieces, err := config.AssembleFrom(earlier, order.Manifest, order.Parts)
	if problems := config.CheckSuccessor(order.Previous, document); err == nil && len(problems) > 0 {
		err = problems
	}
	if err == nil {
		assembled.Snapshot, err = config.Compile(document)
	}
	if err == nil {
		assembled.Snapshot.Pieces = pieces
	}
	if err != nil {
		assembled.Snapshot, assembled.Cause = nil, err.Error()
	}
	return assembled
}

// configEffects passes on the rollout's effects and switches the node to the
// configuration in force.
func (node *Node) configEffects(effects []effect.Effect) {
	node.emit(effects...)
	if snapshot := node.rollout.Snapshot(); snapshot != node.config {
		node.config = snapshot
		node.rankCandidates()
	}
}

// ConfigMark identifies the publication in force.
func (node *Node) ConfigMark() config.Mark {
	return node.rollout.Mark()
}
