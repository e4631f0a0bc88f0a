package peers

import (
	"teaselmoor/internal/direct/inflight"
	"teaselmoor/internal/direct/platformapi"
)

type wireSums struct {
	_       struct{} `cbor:",toarray"`
	Whole   bool
	Servers []wireServerSum
	Models  []string
	Uses    []wireServerUses
}

type wireServerSum struct {
	_                       struct{} `cbor:",toarray"`
	Server                  string
	Runs, Reading, Adapters int
}

type wireServerUses struct {
	_      struct{} `cbor:",toarray"`
	Server string
	Uses   []wireUse
}

func encodeSums(sums *Sums) *wireSums {
	wire := &wireSums{Whole: sums.Whole}
	for server, sum := range sums.Servers {
		wire.Servers = append(wire.Servers, wireServerSum{Server: server, Runs: sum.Runs, Reading: sum.Reading, Adapters: sum.Adapters})
	}
	models := stringTable{}
	for _, uses := range sums.Uses {
		encoded := wireServerUses{Server: uses.Server}
		for adapter, count := range uses.Uses {
			encoded.Uses = append(encoded.Uses, wireUse{Model: models.index(adapter.Model), Named: adapter.Name, Count: count})
		}
		wire.Uses = append(wire.Uses, encoded)
	}
	wire.Models = models.list
	return wire
}

func decodeSums(wire *wireSums) *Sums {
	sums := &Sums{Whole: wire.Whole, Servers: make(map[string]inflight.Sum, len(wire.Servers))}
	for _, sum := range wire.Servers {
		sums.Servers[sum.Server] = inflight.Sum{Load: inflight.Load{Runs: sum.Runs, Reading: sum.Reading}, Adapters: sum.Adapters}
	}
	for _, uses := range wire.Uses {
		decoded := ServerUses{Server: uses.Server, Uses: make(map[platformapi.Adapter]int, len(uses.Uses))}
		for _, use := range uses.Uses {
			decoded.Uses[platformapi.Adapter{Model: nameAt(wire.Models, use.Model), Name: use.Named}] = use.Count
		}
		sums.Uses = append(sums.Uses, decoded)
	}
	return sums
}
