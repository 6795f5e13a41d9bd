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

// Prefix is where the chain lies in the object API. Note number N is the
// object Prefix + N in ten digits; creating that object accepts the note.
const Prefix = "notes/"

// A Record is the stored form of an accepted note.
type Record struct {
	Number plank.NoteNumber
	// Token tells a writer whose answer was lost that the link is its own.
	Token plank.WriteToken
	Note  Note
}

// RecordKey returns the object key of a note number.
func RecordKey(n plank.NoteNumber) string {
	return fmt.Sprintf("%s%010d", Prefix, n)
}

// DecodeRecord reads a stored link.
func DecodeRecord(value []byte) (Record, error) {
	var l Record
	if err := json.Unmarshal(value, &l); err != nil {
		return Record{}, eris.Wrap(err, "decode note link")
	}
	return l, nil
}

// A Chain is an operator's view of all accepted notes.
type Chain struct {
	store   plank.Store
	catalog *Catalog
	ids     map[plank.NoteID]Record
	byNum   []Record
}

// NewChain returns an empty view of the chain in the store.
func NewChain(store plank.Store) *Chain {
	return &Chain{
		store:   store,
		catalog: &Catalog{changed: make(map[string]plank.NoteNumber)},
		ids:     make(map[plank.NoteID]Record),
	}
}

// Catalog returns what the notes read so far add up to.
func (c *Chain) Catalog() *Catalog { return c.catalog }

// Records returns the notes read so far in order.
func (c *Chain) Records() []Record { return c.byNum }

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
			l, err := DecodeRecord(o.Value)
			if err != nil {
				return err
			}
			if l.Number != c.catalog.Number+1 {
				return eris.Errorf("note chain has number %d after %d", l.Number, c.catalog.Number)
			}
			c.append(l)
		}
	}
}

// append takes the next link into the view.
func (c *Chain) append(l Record) {
	changed := maps.Clone(c.catalog.changed)
	for _, item := range l.Note.AffectedItems() {
		changed[item] = l.Number
	}
	c.catalog = c.catalog.Apply(&l.Note)
	c.catalog.changed = changed
	c.ids[l.Note.Id] = l
	c.byNum = append(c.byNum, l)
}

// Append accepts the note and returns its number. Appending a note that the
// chain holds already returns the number that it has. Errors: *FaultyError,
// *ChangedError, *ReusedError, *plank.UnavailableError; after the last the
// outcome is unknown, and appending the note again settles it.
func (c *Chain) Append(ctx context.Context, n *Note, token plank.WriteToken) (plank.NoteNumber, error) {
	for {
		if err := c.Refresh(ctx); err != nil {
			return 0, err
		}
		if l, ok := c.ids[n.Id]; ok {
			return c.settle(l, n)
		}
		if err := c.admit(n); err != nil {
			return 0, err
		}
		l := Record{Number: c.catalog.Number + 1, Token: token, Note: *n}
		value, err := json.Marshal(l)
		if err != nil {
			return 0, eris.Wrap(err, "encode note link")
		}
		_, err = c.store.Put(ctx, RecordKey(l.Number), value, 0)
		var conflict *plank.ConflictError
		if errors.As(err, &conflict) {
			// Another operator won this number, or the answer to an earlier
			// try of ours was lost; the refreshed chain tells which.
			continue
		}
		if err != nil {
			return 0, eris.Wrap(err, "append note")
		}
		c.append(l)
		return l.Number, nil
	}
}

// settle answers for a note whose Id the chain holds.
func (c *Chain) settle(l Record, n *Note) (plank.NoteNumber, error) {
	have, err := json.Marshal(l.Note)
	if err != nil {
		return 0, eris.Wrap(err, "encode note")
	}
	want, err := json.Marshal(n)
	if err != nil {
		return 0, eris.Wrap(err, "encode note")
	}
	if !bytes.Equal(have, want) {
		return 0, &ReusedError{Id: n.Id, Number: l.Number}
	}
	return l.Number, nil
}

// admit refuses a note that conflicts with the chain or names missing items.
func (c *Chain) admit(n *Note) error {
	for _, item := range n.AffectedItems() {
		if num := c.catalog.changed[item]; num > n.Base {
			return &ChangedError{Item: item, ChangedBy: c.byNum[num-1].Note.Id, Number: num}
		}
	}
	if faults := c.catalog.Check(n); len(faults) > 0 {
		return &InvalidError{faults}
	}
	return nil
}
