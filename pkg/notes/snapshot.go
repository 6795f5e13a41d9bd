package notes

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/rotisserie/eris"
	"knapweedplank.org/plank"
)

// SnapshotPrefix is the key prefix of catalog snapshots in the object API. A
// starting VM reads the last snapshot and the notes after it instead of all notes.
const SnapshotPrefix = "snapshots/"

// NotesPerSnapshot is the minimum number of notes between two snapshots.
const NotesPerSnapshot = 1000

const (
	headKey    = SnapshotPrefix + "head"
	shardBytes = 700_000 // maximum shard size, before the platform's encoding
)

// A SnapshotHead identifies the last complete snapshot by the number of its last
// note, and gives the number of its shards.
type SnapshotHead struct {
	Number plank.NoteNumber
	Shards int
}

func shardKey(n plank.NoteNumber, shard int) string {
	return fmt.Sprintf("%s%010d/%04d", SnapshotPrefix, n, shard)
}

// EncodeCatalog returns the stored form of a catalog. The encoding is
// deterministic: all VMs encode the same catalog to the same bytes.
func EncodeCatalog(c *Catalog) ([]byte, error) {
	data, err := json.Marshal(c)
	return data, eris.Wrap(err, "encode catalog")
}

// DecodeCatalog decodes the stored form of a catalog.
func DecodeCatalog(data []byte) (*Catalog, error) {
	c := &Catalog{}
	if err := json.Unmarshal(data, c); err != nil {
		return nil, eris.Wrap(err, "decode catalog")
	}
	c.indexKeys()
	return c, nil
}

// ReadSnapshotHead returns the head of the last snapshot and the version of the
// head's object. Without a snapshot, both the head's Number and the version are 0.
func ReadSnapshotHead(ctx context.Context, s plank.Store) (SnapshotHead, plank.ObjectVersion, error) {
	var head SnapshotHead
	o, err := s.Get(ctx, headKey)
	if err != nil || o.Version == 0 {
		return head, 0, err
	}
	err = json.Unmarshal(o.Value, &head)
	return head, o.Version, eris.Wrap(err, "decode snapshot head")
}

// WriteSnapshot stores the catalog in shards and then updates the head to refer to
// it. It does nothing if the stored snapshot is as recent or more so. VMs may
// write the same snapshot concurrently, as they write the same bytes.
func WriteSnapshot(ctx context.Context, s plank.Store, c *Catalog) error {
	head, version, err := ReadSnapshotHead(ctx, s)
	if err != nil || head.Number >= c.Number {
		return err
	}
	data, err := EncodeCatalog(c)
	if err != nil {
		return err
	}
	next := SnapshotHead{Number: c.Number}
	for ; len(data) > 0; next.Shards++ {
		n := min(len(data), shardBytes)
		if err := putIgnoringConflict(ctx, s, shardKey(c.Number, next.Shards), data[:n], 0); err != nil {
			return err
		}
		data = data[n:]
	}
	value, err := json.Marshal(next)
	if err != nil {
		return eris.Wrap(err, "encode snapshot head")
	}
	return putIgnoringConflict(ctx, s, headKey, value, version)
}

// putIgnoringConflict writes an object and treats a conflict as success, since
// another VM may already have written it.
func putIgnoringConflict(ctx context.Context, s plank.Store, key string, value []byte, want plank.ObjectVersion) error {
	_, err := s.Put(ctx, key, value, want)
	var conflict *plank.ConflictError
	if errors.As(err, &conflict) {
		return nil
	}
	return err
}

// ReadSnapshot returns the catalog of the last snapshot, or nil if there is none.
func ReadSnapshot(ctx context.Context, s plank.Store) (*Catalog, error) {
	head, _, err := ReadSnapshotHead(ctx, s)
	if err != nil || head.Number == 0 {
		return nil, err
	}
	var data bytes.Buffer
	for shard := range head.Shards {
		o, err := s.Get(ctx, shardKey(head.Number, shard))
		if err != nil {
			return nil, err
		}
		data.Write(o.Value)
	}
	return DecodeCatalog(data.Bytes())
}
