package peers

import (
	"bytes"
	"cmp"
	"compress/flate"
	"io"

	"github.com/pkg/errors"

	"teaselmoor/internal/direct/platformapi"
)

// Item is an entry of the store as daemons keep it and tell it each other. A large value
// is packed: else a long configuration holds up news of servers that leave on the link of
// a small VM.
type Item struct {
	Key      string
	Value    []byte
	Revision int64
	Deleted  bool
	Packed   bool `cbor:",omitempty"`
}

const (
	// packAbove is the size, in bytes, above which a value is packed.
	packAbove = 2 << 10
	// mostUnpacked bounds what a packed value may hold, in bytes. The platform's values
	// have a megabyte at most.
	mostUnpacked = 8 << 20
)

// Pack returns an entry as daemons keep it.
func Pack(item platformapi.Item) Item {
	kept := Item{Key: item.Key, Value: item.Value, Revision: item.Revision, Deleted: item.Deleted}
	if len(item.Value) <= packAbove {
		return kept
	}
	var packed bytes.Buffer
	writer, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		return kept // the level is a valid one
	}
	_, _ = writer.Write(item.Value) // a buffer takes all
	_ = writer.Close()
	kept.Value, kept.Packed = packed.Bytes(), true
	return kept
}

// Unpack returns the entry as it was read.
func (item Item) Unpack() (platformapi.Item, error) {
	read := platformapi.Item{Key: item.Key, Value: item.Value, Revision: item.Revision, Deleted: item.Deleted}
	if !item.Packed {
		return read, nil
	}
	value, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(item.Value)), mostUnpacked+1))
	if err != nil {
		return platformapi.Item{}, errors.Wrapf(err, "unpack %s", item.Key)
	}
	if len(value) > mostUnpacked {
		return platformapi.Item{}, errors.Errorf("unpack %s: above %d bytes", item.Key, mostUnpacked)
	}
	read.Value = value
	return read, nil
}

// CompareBySize orders entries so that small ones go first, and older before newer ones.
func CompareBySize(a, b Item) int {
	if a.Packed != b.Packed {
		if b.Packed {
			return -1
		}
		return 1
	}
	return cmp.Compare(a.Revision, b.Revision)
}
