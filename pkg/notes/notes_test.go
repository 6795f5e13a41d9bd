package notes_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/store/memory"
	"knapweedplank.org/plank/pkg/notes"
)

const validNote = `{
  // A valid note with comments.
  "Id": "n1",
  "Workspaces": {"Set": [{"Id": "w", "Rate": 10, "Burst": 20}]},
  "Patience": {"Set": [{"Workspace": "w", "Zone": "America/Vancouver", "Hours": [{"From": 0, "Seconds": 60}, {"From": 9, "Seconds": 5}]}]},
  "Adapters": {"Set": [{"Id": "a", "Version": "1", "Base": "b"}]},
}`

func TestParseReportsAllFaults(t *testing.T) {
	_, err := notes.Parse([]byte(`{"Id": "", "Workspaces": {"Set": [{"Id": "w", "Rate": 0, "Burst": 1}, {"Id": "w", "Rate": 1, "Burst": 1}]},
		"Endpoints": {"Set": [{"Id": "e", "Kind": "toaster", "Address": "x", "Domain": "d"}]}}`))
	var faulty *notes.InvalidError
	assert.Assert(t, errors.As(err, &faulty))
	assert.Equal(t, len(faulty.Faults), 5, "%v", err)
}

func TestPatienceByHour(t *testing.T) {
	n, err := notes.Parse([]byte(validNote))
	assert.NilError(t, err)
	c := (&notes.Catalog{}).Apply(n)
	zone, err := time.LoadLocation("America/Vancouver")
	assert.NilError(t, err)
	cases := []struct {
		hour int
		want time.Duration
	}{{0, time.Minute}, {8, time.Minute}, {9, 5 * time.Second}, {23, 5 * time.Second}}
	for _, tc := range cases {
		at := time.Date(2026, 12, 4, tc.hour, 30, 0, 0, zone)
		assert.Equal(t, c.PatienceAt("w", at), tc.want, "hour %d", tc.hour)
	}
	assert.Equal(t, c.PatienceAt("other", time.Now()), notes.DefaultPatience)
}

// TestAppendAfterLostReply loses the reply to the write that accepts a note.
// Appending the note again must succeed without adding a second record.
func TestAppendAfterLostReply(t *testing.T) {
	s := memory.New()
	n, err := notes.Parse([]byte(validNote))
	assert.NilError(t, err)
	calls := 0
	s.Fault = func() memory.Fault {
		calls++
		if calls == 2 {
			return memory.LostResponse
		}
		return memory.NoFault
	}
	ctx := context.Background()
	_, err = notes.NewChain(s).Append(ctx, n, "t")
	var unavailable *plank.UnavailableError
	assert.Assert(t, errors.As(err, &unavailable))
	number, err := notes.NewChain(s).Append(ctx, n, "t")
	assert.NilError(t, err)
	assert.Equal(t, number, plank.NoteNumber(1))
	objects, _, err := s.List(ctx, notes.Prefix, "")
	assert.NilError(t, err)
	assert.Equal(t, len(objects), 1)
}

// TestAppendWithSameBase appends notes with the same Base: one that changes other
// items is accepted, and one that changes the same item is refused.
func TestAppendWithSameBase(t *testing.T) {
	s := memory.New()
	ctx := context.Background()
	adapter := func(id plank.NoteID, name plank.AdapterID) *notes.Note {
		n := &notes.Note{Id: id}
		n.Adapters.Set = []notes.Adapter{{Id: name, Version: "1", Base: "b"}}
		return n
	}
	chain := notes.NewChain(s)
	_, err := chain.Append(ctx, adapter("one", "a"), "1")
	assert.NilError(t, err)
	number, err := chain.Append(ctx, adapter("two", "b"), "2")
	assert.NilError(t, err)
	assert.Equal(t, number, plank.NoteNumber(2))
	_, err = chain.Append(ctx, adapter("three", "a"), "3")
	var changed *notes.ChangedError
	assert.Assert(t, errors.As(err, &changed))
	assert.Equal(t, changed.ChangedBy, plank.NoteID("one"))
}

// TestSnapshotRoundTrip writes a catalog of several shards while some replies are
// lost, and reads it back.
func TestSnapshotRoundTrip(t *testing.T) {
	s := memory.New()
	ctx := context.Background()
	n := &notes.Note{Id: "many"}
	for i := range 30_000 {
		n.Adapters.Set = append(n.Adapters.Set, notes.Adapter{Id: plank.AdapterID(fmt.Sprint("adapter-", i)), Version: "1", Base: "base"})
	}
	n.Keys.Set = []notes.Key{{Id: "k", Hash: "h", Workspace: "w"}}
	c := (&notes.Catalog{Number: 41}).Apply(n)
	none, err := notes.ReadSnapshot(ctx, s)
	assert.NilError(t, err)
	assert.Assert(t, none == nil)
	calls := 0
	s.Fault = func() memory.Fault {
		calls++
		if calls%2 == 0 && calls < 6 {
			return memory.LostResponse
		}
		return memory.NoFault
	}
	for notes.WriteSnapshot(ctx, s, c) != nil {
	}
	got, err := notes.ReadSnapshot(ctx, s)
	assert.NilError(t, err)
	assert.DeepEqual(t, got.Adapters, c.Adapters)
	assert.DeepEqual(t, got.KeyByHash, c.KeyByHash)
	assert.Equal(t, got.Number, c.Number)
	// An earlier catalog must not replace a later one.
	assert.NilError(t, notes.WriteSnapshot(ctx, s, &notes.Catalog{Number: 7}))
	head, _, err := notes.ReadSnapshotHead(ctx, s)
	assert.NilError(t, err)
	assert.Equal(t, head.Number, c.Number)
}

// FuzzParse checks that the stored form of every accepted note is accepted too,
// unless it is too long.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validNote))
	f.Add([]byte(`{"Id": "x", "Routes": {"Set": [{"Path": "/a/", "Service": "s", "Open": true, "Workspace": "w"}]}}`))
	f.Add([]byte(`{"Id": "x", "Keys": {"Withdraw": ["k"]}, /* c */}`))
	f.Add([]byte(`[`))
	f.Fuzz(func(t *testing.T, text []byte) {
		n, err := notes.Parse(text)
		if err != nil {
			var faulty *notes.InvalidError
			if !errors.As(err, &faulty) || len(faulty.Faults) == 0 {
				t.Fatalf("error without faults: %v", err)
			}
			return
		}
		stored, err := json.Marshal(n)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := notes.Parse(stored); err != nil && len(stored) <= notes.MaxNoteBytes {
			t.Fatalf("stored form is refused: %v", err)
		}
		(&notes.Catalog{}).Check(n)
	})
}
