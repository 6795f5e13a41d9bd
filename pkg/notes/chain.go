package notes

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"

	"github.com/rotisserie/eris"
	"knapweedplank.org/plank"
)

// Prefix is the key prefix of the chain in the object API. Note number N is
// stored under Prefix followed by N in ten digits; creating that object accepts
// the note.
const Prefix = "notes/"

// A Record is the stored form of an accepted note.
type Record struct {
	Number plank.NoteNumber
	// Token identifies the write. It is only stored: after a lost reply, Append
	// recognizes its own record by the note's Id and content.
	Token plank.WriteToken
	Note  Note
}

// RecordKey returns the object key of the note with number n.
func RecordKey(n plank.NoteNumber) string {
	return fmt.Sprintf("%s%010d", Prefix, n)
}

// DecodeRecord decodes a stored record.
func DecodeRecord(value []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(value, &r); err != nil {
		return Record{}, eris.Wrap(err, "decode note record")
	}
	return r, nil
}

// A Chain reads and extends the sequence of accepted notes in the store. It
// keeps the notes read so far and the catalog that they produce.
type Chain struct {
	store   plank.Store
	catalog *Catalog
	byID    map[plank.NoteID]Record
	records []Record
}

// NewChain returns a Chain that has read nothing from the store yet.
func NewChain(store plank.Store) *Chain {
	return &Chain{
		store:   store,
		catalog: &Catalog{changedBy: make(map[string]plank.NoteNumber)},
		byID:    make(map[plank.NoteID]Record),
	}
}

// Catalog returns the catalog produced by the notes read so far.
func (c *Chain) Catalog() *Catalog { return c.catalog }

// Records returns the records read so far, in order of their numbers.
func (c *Chain) Records() []Record { return c.records }

// Refresh reads the notes accepted since the last call.
func (c *Chain) Refresh(ctx context.Context) error {
	for {
		objects, _, err := c.store.List(ctx, Prefix, RecordKey(c.catalog.Number))
		if err != nil {
			return eris.Wrap(err, "read note chain")
		}
		if len(objects) == 0 {
			return nil
		}
		for _, o := range objects {
			r, err := DecodeRecord(o.Value)
			if err != nil {
				return err
			}
			if r.Number != c.catalog.Number+1 {
				return eris.Errorf("note chain is not contiguous: found number %d after %d", r.Number, c.catalog.Number)
			}
			c.append(r)
		}
	}
}

// append adds the next record and applies its note to the catalog.
func (c *Chain) append(r Record) {
	changed := maps.Clone(c.catalog.changedBy)
	for _, item := range r.Note.AffectedItems() {
		changed[item] = r.Number
	}
	c.catalog = c.catalog.Apply(&r.Note)
	c.catalog.changedBy = changed
	c.byID[r.Note.Id] = r
	c.records = append(c.records, r)
}

// Append adds the note to the chain and returns its number. Appending a note
// that the chain already contains returns its existing number. Errors:
// *InvalidError, *ChangedError, *ReusedError, *plank.UnavailableError; after the
// last the outcome is unknown, and the caller should append the note again.
func (c *Chain) Append(ctx context.Context, n *Note, token plank.WriteToken) (plank.NoteNumber, error) {
	for {
		if err := c.Refresh(ctx); err != nil {
			return 0, err
		}
		if r, ok := c.byID[n.Id]; ok {
			return c.checkDuplicate(r, n)
		}
		if err := c.checkConflicts(n); err != nil {
			return 0, err
		}
		r := Record{Number: c.catalog.Number + 1, Token: token, Note: *n}
		value, err := json.Marshal(r)
		if err != nil {
			return 0, eris.Wrap(err, "encode note record")
		}
		_, err = c.store.Put(ctx, RecordKey(r.Number), value, 0)
		var conflict *plank.ConflictError
		if errors.As(err, &conflict) {
			// Another writer took this number, or the reply to an earlier
			// attempt was lost; refreshing the chain distinguishes the two.
			continue
		}
		if err != nil {
			return 0, eris.Wrap(err, "append note")
		}
		c.append(r)
		return r.Number, nil
	}
}

// checkDuplicate returns the number of record r, which has the same Id as n, or
// a *ReusedError if their contents differ.
func (c *Chain) checkDuplicate(r Record, n *Note) (plank.NoteNumber, error) {
	have, err := json.Marshal(r.Note)
	if err != nil {
		return 0, eris.Wrap(err, "encode note")
	}
	want, err := json.Marshal(n)
	if err != nil {
		return 0, eris.Wrap(err, "encode note")
	}
	if !bytes.Equal(have, want) {
		return 0, &ReusedError{Id: n.Id, Number: r.Number}
	}
	return r.Number, nil
}

// checkConflicts returns an error if the note changes an item that was changed
// after the note's Base, or if the catalog reveals faults in it.
func (c *Chain) checkConflicts(n *Note) error {
	for _, item := range n.AffectedItems() {
		if num := c.catalog.changedBy[item]; num > n.Base {
			return &ChangedError{Item: item, ChangedBy: c.records[num-1].Note.Id, Number: num}
		}
	}
	if faults := c.catalog.Check(n); len(faults) > 0 {
		return &InvalidError{faults}
	}
	return nil
}
