// Package claim defines which VM of a failure domain owns which endpoint and holds
// which share of the workspaces' limits. It performs no I/O; package lease stores
// the records in the platform's object API.
package claim

import (
	"cmp"
	"encoding/json"
	"slices"

	"github.com/rotisserie/eris"
	"knapweedplank.org/plank"
)

// KeyPrefix is the prefix of the records' keys in the object API.
const KeyPrefix = "domains/"

// Key returns the object key of a domain's record.
func Key(d plank.DomainID) string { return KeyPrefix + string(d) }

// A Record is the state of one failure domain. Every change is one conditional
// update of its object, so all VMs observe the changes in the same order.
type Record struct {
	Domain plank.DomainID
	// Share is the domain's share of every limit. Once set, it never changes.
	Share plank.PPM
	// Members is sorted by VM. The sum of the shares is at most Share. A member's
	// share is lowered only by the member itself, which stops using the released
	// part before it stores the record.
	Members []Member
	// Claims is sorted by endpoint. The term of an endpoint never decreases.
	Claims []Claim
	// Token is the token of the last write.
	Token plank.WriteToken
}

// A Member is an entry VM of the domain.
type Member struct {
	VM      plank.VMID
	Boot    plank.BootID
	Address string // of the peer listener
	Share   plank.PPM
}

// A Claim is the ownership of one endpoint.
type Claim struct {
	Endpoint plank.EndpointID
	VM       plank.VMID // empty if the endpoint is unowned
	Term     plank.Term
}

// Decode decodes a stored record. An empty value is an empty record.
func Decode(d plank.DomainID, value []byte) (Record, error) {
	r := Record{Domain: d}
	if len(value) == 0 {
		return r, nil
	}
	if err := json.Unmarshal(value, &r); err != nil {
		return r, eris.Wrapf(err, "decode record of domain %s", d)
	}
	return r, nil
}

// Encode returns the encoding to store.
func (r Record) Encode() ([]byte, error) {
	value, err := json.Marshal(r)
	return value, eris.Wrap(err, "encode domain record")
}

// clone returns a deep copy of r.
func (r Record) clone() Record {
	r.Members = slices.Clone(r.Members)
	r.Claims = slices.Clone(r.Claims)
	return r
}

// Member returns the member that is the given VM, if any.
func (r Record) Member(vm plank.VMID) (Member, bool) {
	i, ok := r.memberIndex(vm)
	if !ok {
		return Member{}, false
	}
	return r.Members[i], true
}

// memberIndex returns the index of a VM in Members, or where to insert it, and
// whether it is there.
func (r Record) memberIndex(vm plank.VMID) (int, bool) {
	return slices.BinarySearchFunc(r.Members, vm, func(m Member, vm plank.VMID) int { return cmp.Compare(m.VM, vm) })
}

// Claim returns the claim on an endpoint, if any.
func (r Record) Claim(e plank.EndpointID) (Claim, bool) {
	i, ok := r.claimIndex(e)
	if !ok {
		return Claim{}, false
	}
	return r.Claims[i], true
}

// claimIndex returns the index of an endpoint in Claims, or where to insert it, and
// whether it is there.
func (r Record) claimIndex(e plank.EndpointID) (int, bool) {
	return slices.BinarySearchFunc(r.Claims, e, func(c Claim, e plank.EndpointID) int { return cmp.Compare(c.Endpoint, e) })
}

// FreeShare returns the part of the domain's share that no member holds, at least 0.
func (r Record) FreeShare() plank.PPM {
	free := r.Share
	for _, m := range r.Members {
		free -= m.Share
	}
	return max(0, free)
}

// countOwned returns the number of endpoints that a VM owns.
func (r Record) countOwned(vm plank.VMID) int {
	n := 0
	for _, c := range r.Claims {
		if c.VM == vm {
			n++
		}
	}
	return n
}
