// Package status defines how an operator reads back whether a release note is
// in force.
package status

import (
	"context"
	"encoding/json"
	"slices"
	"strings"

	"github.com/rotisserie/eris"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/ctrl"
	"knapweedplank.org/plank/internal/lease"
	"knapweedplank.org/plank/pkg/notes"
)

// A Report tells how far a note has spread.
type Report struct {
	Number  plank.NoteNumber
	Id      plank.NoteID
	InForce bool
	// Lagging lists the VMs that may still serve by an earlier note.
	Lagging []LaggingVM
	// VMs counts the VMs that were asked about.
	VMs int
}

// A LaggingVM is a VM that has not reported the note.
type LaggingVM struct {
	VM      plank.VMID
	Domain  plank.DomainID
	Applied plank.NoteNumber
	State   string
}

// An UnknownNoteError reports that the chain holds no such note.
type UnknownNoteError struct {
	Id plank.NoteID
}

// Error returns the message.
func (e *UnknownNoteError) Error() string { return "no note " + string(e.Id) + " was accepted" }

// Read reports on the note with the given Id, or on the last one for an empty
// Id. A note is in force when every VM has applied it that is not known to be
// gone: one that gave up its lease, or that the platform's list no longer has.
func Read(ctx context.Context, s plank.Store, id plank.NoteID) (Report, error) {
	chain := notes.NewChain(s)
	if err := chain.Refresh(ctx); err != nil {
		return Report{}, err
	}
	r := Report{}
	for _, l := range chain.Records() {
		if id == "" || l.Note.Id == id {
			r.Number, r.Id = l.Number, l.Note.Id
		}
	}
	if r.Number == 0 {
		return r, &UnknownNoteError{Id: id}
	}
	listed, err := readList(ctx, s)
	if err != nil {
		return r, err
	}
	leases, err := readLeases(ctx, s)
	if err != nil {
		return r, err
	}
	for _, l := range leases {
		gone := l.State == lease.StateGone || listed != nil && !slices.Contains(listed, string(l.VM))
		if gone {
			continue
		}
		r.VMs++
		if l.Applied < r.Number || l.State == lease.StateFenced {
			r.Lagging = append(r.Lagging, LaggingVM{VM: l.VM, Domain: l.Domain, Applied: l.Applied, State: l.State})
		}
	}
	r.InForce = r.VMs > 0 && len(r.Lagging) == 0
	return r, nil
}

// readList returns the names on the platform's list of VMs, or nil.
func readList(ctx context.Context, s plank.Store) ([]string, error) {
	o, err := s.Get(ctx, ctrl.VMListKey)
	if err != nil || o.Version == 0 {
		return nil, err
	}
	var l ctrl.PlatformList
	if err := json.Unmarshal(o.Value, &l); err != nil {
		return nil, eris.Wrap(err, "decode list of VMs")
	}
	names := make([]string, 0, len(l.VMs))
	for _, vm := range l.VMs {
		names = append(names, vm.Name)
	}
	return names, nil
}

func readLeases(ctx context.Context, s plank.Store) ([]lease.Lease, error) {
	var all []lease.Lease
	after := ""
	for {
		objects, _, err := s.List(ctx, lease.KeyPrefix, after)
		if err != nil {
			return nil, err
		}
		if len(objects) == 0 {
			break
		}
		for _, o := range objects {
			l, err := lease.Decode(o.Value)
			if err != nil {
				return nil, err
			}
			all = append(all, l)
			after = o.Key
		}
	}
	slices.SortFunc(all, func(a, b lease.Lease) int { return strings.Compare(string(a.VM), string(b.VM)) })
	return all, nil
}
