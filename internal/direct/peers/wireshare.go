package peers

import (
	"teaselmoor/internal/direct/inflight"
	"teaselmoor/internal/direct/platformapi"
)

type wireGroup struct {
	_      struct{} `cbor:",toarray"`
	Number int64
	Whole  bool
	Models []string
	Loads  []wireLoad
}

type wireShare struct {
	_                   struct{} `cbor:",toarray"`
	Name                string
	Incarnation, Number int64
	Models              []string
	Loads               []wireLoad
}

type wireLoad struct {
	_             struct{} `cbor:",toarray"`
	Server        string
	Runs, Reading int
	Uses          []wireUse
}

type wireUse struct {
	_     struct{} `cbor:",toarray"`
	Model int      // index in the models of the message
	Named string
	Count int
}

func encodeShare(share inflight.Share) ([]wireLoad, []string) {
	models := stringTable{}
	at := make(map[string]int, len(share.Loads))
	loads := make([]wireLoad, 0, len(share.Loads))
	for server, load := range share.Loads {
		at[server] = len(loads)
		loads = append(loads, wireLoad{Server: server, Runs: load.Runs, Reading: load.Reading})
	}
	for use, count := range share.Uses {
		index, ok := at[use.Server]
		if !ok {
			continue // a use at a server without load; shares contain none
		}
		loads[index].Uses = append(loads[index].Uses, wireUse{Model: models.index(use.Adapter.Model), Named: use.Adapter.Name, Count: count})
	}
	return loads, models.list
}

func decodeShare(loads []wireLoad, models []string) inflight.Share {
	share := inflight.Share{Loads: make(map[string]inflight.Load, len(loads)), Uses: make(map[inflight.Use]int)}
	for _, load := range loads {
		share.Loads[load.Server] = inflight.Load{Runs: load.Runs, Reading: load.Reading}
		for _, use := range load.Uses {
			adapter := platformapi.Adapter{Model: nameAt(models, use.Model), Name: use.Named}
			share.Uses[inflight.Use{Server: load.Server, Adapter: adapter}] = use.Count
		}
	}
	return share
}
