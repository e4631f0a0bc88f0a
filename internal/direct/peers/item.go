package peers

import (
	"bytes"
	"cmp"
	"compress/flate"
	"io"

	"github.com/pkg/errors"

	"teaselmoor/internal/direct/platformapi"
)

// Item is an entry of the store in the form in which daemons keep it and send it to each
// other. A large value is compressed: a long configuration would otherwise delay messages
// about leaving servers on the link of a small VM.
type Item struct {
	Key      string
	Value    []byte
	Revision int64
	Deleted  bool
	Packed   bool `cbor:",omitempty"` // Value is compressed
}

const (
	// packThresholdBytes is the size above which a value is compressed.
	packThresholdBytes = 2 << 10
	// maxUnpackedBytes limits the uncompressed size of a value. The platform's values have
	// at most one megabyte.
	maxUnpackedBytes = 8 << 20
)

// Pack returns an entry of the store as an Item, and compresses a large value.
func Pack(item platformapi.Item) Item {
	kept := Item{Key: item.Key, Value: item.Value, Revision: item.Revision, Deleted: item.Deleted}
	if len(item.Value) <= packThresholdBytes {
		return kept
	}
	var packed bytes.Buffer
	writer, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		return kept // unreachable: the level is valid
	}
	_, _ = writer.Write(item.Value) // writing to a buffer does not fail
	_ = writer.Close()
	kept.Value, kept.Packed = packed.Bytes(), true
	return kept
}

// Unpack returns the entry as it was read from the store.
func (item Item) Unpack() (platformapi.Item, error) {
	read := platformapi.Item{Key: item.Key, Value: item.Value, Revision: item.Revision, Deleted: item.Deleted}
	if !item.Packed {
		return read, nil
	}
	value, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(item.Value)), maxUnpackedBytes+1))
	if err != nil {
		return platformapi.Item{}, errors.Wrapf(err, "unpack %s", item.Key)
	}
	if len(value) > maxUnpackedBytes {
		return platformapi.Item{}, errors.Errorf("unpack %s: above %d bytes", item.Key, maxUnpackedBytes)
	}
	read.Value = value
	return read, nil
}

// CompareBySize orders uncompressed entries before compressed ones, which are large, and then
// older before newer ones.
func CompareBySize(a, b Item) int {
	if a.Packed != b.Packed {
		if b.Packed {
			return -1
		}
		return 1
	}
	return cmp.Compare(a.Revision, b.Revision)
}
