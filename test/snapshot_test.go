package test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/stand/objapi"
	"knapweedplank.org/plank/internal/store"
	"knapweedplank.org/plank/pkg/notes"
)

// TestNewVMReadsSnapshot starts VMs on a chain that is longer than the distance
// between snapshots. The first VM writes a snapshot, and one that starts alone later
// becomes ready from it with few list calls.
func TestNewVMReadsSnapshot(t *testing.T) {
	t.Parallel()
	f := newFleet(t, smallFleet())
	ctx := context.Background()
	s := store.New(f.platformAddr, nil)
	chain := notes.NewChain(s)
	assert.NilError(t, chain.Refresh(ctx))
	for i := range notes.NotesPerSnapshot {
		n := &notes.Note{Id: plank.NoteID(fmt.Sprintf("n-%d", i)), Base: chain.Catalog().Number}
		n.Adapters.Set = []notes.Adapter{{Id: "busy", Version: "1", Base: "base", Source: fmt.Sprint(i)}}
		_, err := chain.Append(ctx, n, plank.WriteToken(n.Id))
		assert.NilError(t, err)
	}
	eventually(t, 10*time.Second, "notes in force", f.inForce)
	for _, v := range f.daemons {
		v.proc.kill()
	}
	// The restarted VM finds no snapshot, reads all notes and writes a snapshot.
	f.daemons[0].start()
	eventually(t, 20*time.Second, "snapshot written", func() bool {
		head, _, err := notes.ReadSnapshotHead(ctx, s)
		return err == nil && head.Number > notes.NotesPerSnapshot
	})
	f.daemons[0].proc.kill()
	before := getJSON[objapi.Stats](t, f.platformAddr, "/test/stats").Lists
	f.daemons[1].start()
	eventually(t, 20*time.Second, "ready from the snapshot", func() bool {
		st, ok := f.daemons[1].status()
		return ok && st.Ready && st.Applied == notes.NotesPerSnapshot+1
	})
	lists := getJSON[objapi.Stats](t, f.platformAddr, "/test/stats").Lists - before
	t.Logf("%d lists", lists)
	assert.Assert(t, lists < 20, "%d lists", lists)
}
