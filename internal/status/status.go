// Package status reports whether a release note is in force on all VMs.
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

// A Report states which VMs have applied a note.
type Report struct {
	Number  plank.NoteNumber
	Id      plank.NoteID
	InForce bool
	// Lagging lists the VMs that may still serve according to an earlier note.
	Lagging []LaggingVM
	// VMs is the number of VMs that are not known to be gone.
	VMs int
}

// A LaggingVM is a VM that has not reported that it applied the note, or that is
// fenced.
type LaggingVM struct {
	VM      plank.VMID
	Domain  plank.DomainID
	Applied plank.NoteNumber
	State   string
}

// An UnknownNoteError reports that the chain of accepted notes has no note with
// the given Id.
type UnknownNoteError struct {
	Id plank.NoteID
}

// Error returns the message.
func (e *UnknownNoteError) Error() string { return "no note " + string(e.Id) + " was accepted" }

// Read returns the report on the note with the given Id, or on the last note if
// id is empty. A note is in force if every VM that is not known to be gone has
// applied it. A VM is gone if its lease is in the state Gone or if the platform
// publishes a list of VMs without it.
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
	listedVMs, err := readListedVMs(ctx, s)
	if err != nil {
		return r, err
	}
	leases, err := readLeases(ctx, s)
	if err != nil {
		return r, err
	}
	for _, l := range leases {
		gone := l.State == lease.StateGone || listedVMs != nil && !slices.Contains(listedVMs, string(l.VM))
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

// readListedVMs returns the names on the platform's list of VMs, or nil if the
// platform publishes none.
func readListedVMs(ctx context.Context, s plank.Store) ([]string, error) {
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
