package claim

import (
	"slices"

	"knapweedplank.org/plank"
)

// This file implements the updates of a domain record. Each returns the updated
// record and reports whether it differs. None modifies its receiver.

// Join adds the member, or updates it after a restart. A restarted member keeps
// its share, but its endpoints get a new term, since orders of the earlier run
// may still be in transit.
func (r Record) Join(m Member) (Record, bool) {
	i, ok := r.memberIndex(m.VM)
	if ok && r.Members[i].Boot == m.Boot && r.Members[i].Address == m.Address {
		return r, false
	}
	r = r.clone()
	if !ok {
		m.Share = 0
		r.Members = slices.Insert(r.Members, i, m)
		return r, true
	}
	restarted := r.Members[i].Boot != m.Boot
	m.Share = r.Members[i].Share
	r.Members[i] = m
	for j := range r.Claims {
		if restarted && r.Claims[j].VM == m.VM {
			r.Claims[j].Term++
		}
	}
	return r, true
}

// Remove removes a member. Its share becomes free and its endpoints unowned. The
// member itself calls it when it leaves, other VMs once its lease is fenced or
// released.
func (r Record) Remove(vm plank.VMID) (Record, bool) {
	i, ok := r.memberIndex(vm)
	if !ok {
		return r, false
	}
	r = r.clone()
	r.Members = slices.Delete(r.Members, i, i+1)
	for j := range r.Claims {
		if r.Claims[j].VM == vm {
			r.Claims[j].VM = ""
		}
	}
	return r, true
}

// SetShare sets the domain's share of the limits if it is not set yet.
func (r Record) SetShare(share plank.PPM) (Record, bool) {
	if r.Share != 0 || share == 0 {
		return r, false
	}
	r = r.clone()
	r.Share = share
	return r, true
}

// ReleaseShare lowers the member's share by amount. The member must have stopped
// using that part before.
func (r Record) ReleaseShare(vm plank.VMID, amount plank.PPM) (Record, bool) {
	i, ok := r.memberIndex(vm)
	if !ok || amount <= 0 || amount > r.Members[i].Share {
		return r, false
	}
	r = r.clone()
	r.Members[i].Share -= amount
	return r, true
}

// AcquireShare raises the member's share to its target, as far as the free share
// allows. The member may use the increase once the record is stored.
func (r Record) AcquireShare(vm plank.VMID) (Record, bool) {
	i, ok := r.memberIndex(vm)
	if !ok {
		return r, false
	}
	amount := min(r.TargetShare()-r.Members[i].Share, r.FreeShare())
	if amount <= 0 {
		return r, false
	}
	r = r.clone()
	r.Members[i].Share += amount
	return r, true
}

// TargetShare returns the share that each member should hold: an equal part.
func (r Record) TargetShare() plank.PPM {
	return r.Share / plank.PPM(max(1, len(r.Members)))
}

// ExcessShare returns the part of a member's share above its target, which it
// should release for the others.
func (r Record) ExcessShare(vm plank.VMID) plank.PPM {
	m, ok := r.Member(vm)
	if !ok {
		return 0
	}
	return max(0, m.Share-r.TargetShare())
}

// ClaimEndpoints makes the VM the owner of unowned endpoints among those listed,
// until it owns its equal part of them, rounded up. Claims on other endpoints
// remain unchanged.
func (r Record) ClaimEndpoints(vm plank.VMID, endpoints []plank.EndpointID) (Record, bool) {
	if _, ok := r.Member(vm); !ok {
		return r, false
	}
	out := r.clone()
	changed := false
	maxOwned := (len(endpoints) + len(r.Members) - 1) / max(1, len(r.Members))
	for _, e := range endpoints {
		i, ok := out.claimIndex(e)
		switch {
		case ok && out.Claims[i].VM != "":
		case out.countOwned(vm) >= maxOwned:
		case ok:
			out.Claims[i].VM = vm
			out.Claims[i].Term++
			changed = true
		default:
			out.Claims = slices.Insert(out.Claims, i, Claim{Endpoint: e, VM: vm, Term: 1})
			changed = true
		}
	}
	return out, changed
}

// SurplusEndpoint returns an endpoint of the VM and the member to transfer it to,
// if that member owns at least two endpoints less than the VM.
func (r Record) SurplusEndpoint(vm plank.VMID) (e plank.EndpointID, to plank.VMID, ok bool) {
	owned := r.countOwned(vm)
	for _, m := range r.Members {
		if m.VM != vm && r.countOwned(m.VM)+2 <= owned {
			to = m.VM
			break
		}
	}
	if to == "" {
		return "", "", false
	}
	for _, c := range r.Claims {
		if c.VM == vm {
			e = c.Endpoint
		}
	}
	return e, to, true
}

// TransferEndpoint makes another member the owner of an endpoint, or leaves the
// endpoint unowned if to is not a member. The previous owner must have drained it.
func (r Record) TransferEndpoint(from plank.VMID, e plank.EndpointID, to plank.VMID) (Record, bool) {
	i, ok := r.claimIndex(e)
	if !ok || r.Claims[i].VM != from {
		return r, false
	}
	if _, isMember := r.memberIndex(to); !isMember {
		to = ""
	}
	r = r.clone()
	r.Claims[i].VM = to
	r.Claims[i].Term++
	return r, true
}
