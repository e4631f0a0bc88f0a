package peers

import (
	"teaselmoor/internal/base/clock"
	"teaselmoor/internal/direct/loading"
)

type wireOwners struct {
	_                struct{} `cbor:",toarray"`
	LoadTime, AtOnce int64
	Owned            []wireOwned
}

type wireOwned struct {
	_       struct{} `cbor:",toarray"`
	Owner   string
	Servers []string
}

func encodeOwners(owners *Owners) *wireOwners {
	at := make(map[string]int)
	var owned []wireOwned
	for server, owner := range owners.By {
		index, ok := at[owner]
		if !ok {
			index = len(owned)
			at[owner] = index
			owned = append(owned, wireOwned{Owner: owner})
		}
		owned[index].Servers = append(owned[index].Servers, server)
	}
	return &wireOwners{LoadTime: int64(owners.Learned.LoadTime), AtOnce: int64(owners.Learned.AtOnce), Owned: owned}
}

func decodeOwners(wire *wireOwners) *Owners {
	owners := &Owners{
		By:      make(map[string]string),
		Learned: loading.RateEstimate{LoadTime: clock.Millis(wire.LoadTime), AtOnce: int(wire.AtOnce)},
	}
	for _, owned := range wire.Owned {
		for _, server := range owned.Servers {
			owners.By[server] = owned.Owner
		}
	}
	return owners
}
