package claim

import (
	"slices"

	"knapweedplank.org/plank"
)

// This file defines the changes of a domain record. Each returns a new record
// and reports whether it differs.

// Join adds the member, or renews it after a restart. A restarted member keeps
// its share, but its endpoints get a new term, since orders of the earlier run
// may still be on their way.
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

// Remove takes a member out. Its share becomes free and its endpoints unowned.
// It is called by the member itself as it leaves, or once its lease is fenced.
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

// SetShare gives the domain its part of the limits, once.
func (r Record) SetShare(share plank.PPM) (Record, bool) {
	if r.Share != 0 || share == 0 {
		return r, false
	}
	r = r.clone()
	r.Share = share
	return r, true
}

// ReleaseShare lowers the member's own share by amount. The member has given the part
// up already.
func (r Record) ReleaseShare(vm plank.VMID, amount plank.PPM) (Record, bool) {
	i, ok := r.memberIndex(vm)
	if !ok || amount <= 0 || amount > r.Members[i].Share {
		return r, false
	}
	r = r.clone()
	r.Members[i].Share -= amount
	return r, true
}

// AcquireShare raises the member's share by up to its target, out of the free part.
// The member may use it once the record is written.
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

// TargetShare returns the share that each member should hold.
func (r Record) TargetShare() plank.PPM {
	return r.Share / plank.PPM(max(1, len(r.Members)))
}

// ExcessShare returns how much a member should give up so that others reach their
// target.
func (r Record) ExcessShare(vm plank.VMID) plank.PPM {
	m, ok := r.Member(vm)
	if !ok {
		return 0
	}
	return max(0, m.Share-r.TargetShare())
}

// ClaimEndpoints makes the VM the owner of unowned endpoints up to its fair count. Claims
// on endpoints that are not listed are dropped when unowned or its own.
func (r Record) ClaimEndpoints(vm plank.VMID, endpoints []plank.EndpointID) (Record, bool) {
	if _, ok := r.Member(vm); !ok {
		return r, false
	}
	out := r.clone()
	changed := false
	most := (len(endpoints) + len(r.Members) - 1) / max(1, len(r.Members))
	for _, e := range endpoints {
		i, ok := out.claimIndex(e)
		switch {
		case ok && out.Claims[i].VM != "":
		case out.owned(vm) >= most:
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

// SurplusEndpoint returns an endpoint that the VM should hand over, and to whom, so
// that no member owns two more than another.
func (r Record) SurplusEndpoint(vm plank.VMID) (e plank.EndpointID, to plank.VMID, ok bool) {
	mine := r.owned(vm)
	for _, m := range r.Members {
		if m.VM != vm && r.owned(m.VM)+2 <= mine {
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

// TransferEndpoint moves an endpoint from its owner to another member. The owner has
// stopped using it already.
func (r Record) TransferEndpoint(from plank.VMID, e plank.EndpointID, to plank.VMID) (Record, bool) {
	i, ok := r.claimIndex(e)
	if !ok || r.Claims[i].VM != from {
		return r, false
	}
	if _, member := r.memberIndex(to); !member {
		to = ""
	}
	r = r.clone()
	r.Claims[i].VM = to
	r.Claims[i].Term++
	return r, true
}
