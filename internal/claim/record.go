// Package claim defines who, in one failure domain, owns which endpoint and
// holds which share of the workspaces' limits. The package is pure; package
// lease moves its records through the platform's object API.
package claim

import (
	"cmp"
	"encoding/json"
	"slices"

	"github.com/rotisserie/eris"
	"knapweedplank.org/plank"
)

// KeyPrefix is where the records lie in the object API.
const KeyPrefix = "domains/"

// Key returns the object key of a domain's record.
func Key(d plank.DomainID) string { return KeyPrefix + string(d) }

// A Record is the state of one failure domain. Every change is one conditional
// update of its object, so members and owners change in one order for all.
type Record struct {
	Domain plank.DomainID
	// Share is the domain's part of every limit; it never changes.
	Share plank.PPM
	// Members is sorted by VM. The sum of their shares is at most Share. Only
	// a member itself lowers its share, before it writes so.
	Members []Member
	// Claims is sorted by endpoint. Terms of one endpoint only rise.
	Claims []Claim
	// Token is that of the last writer.
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
	VM       plank.VMID // empty when nobody owns the endpoint
	Term     plank.Term
}

// Decode reads a stored record. An empty value is an empty record.
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

// Encode returns the stored form.
func (r Record) Encode() ([]byte, error) {
	value, err := json.Marshal(r)
	return value, eris.Wrap(err, "encode domain record")
}

// clone returns a record that shares nothing with r.
func (r Record) clone() Record {
	r.Members = slices.Clone(r.Members)
	r.Claims = slices.Clone(r.Claims)
	return r
}

// Member returns the member with the given VM.
func (r Record) Member(vm plank.VMID) (Member, bool) {
	i, ok := r.memberIndex(vm)
	if !ok {
		return Member{}, false
	}
	return r.Members[i], true
}

func (r Record) memberIndex(vm plank.VMID) (int, bool) {
	return slices.BinarySearchFunc(r.Members, vm, func(m Member, vm plank.VMID) int { return cmp.Compare(m.VM, vm) })
}

// Claim returns the claim on an endpoint.
func (r Record) Claim(e plank.EndpointID) (Claim, bool) {
	i, ok := r.claimIndex(e)
	if !ok {
		return Claim{}, false
	}
	return r.Claims[i], true
}

func (r Record) claimIndex(e plank.EndpointID) (int, bool) {
	return slices.BinarySearchFunc(r.Claims, e, func(c Claim, e plank.EndpointID) int { return cmp.Compare(c.Endpoint, e) })
}

// FreeShare returns the part of the domain's share that no member holds.
func (r Record) FreeShare() plank.PPM {
	free := r.Share
	for _, m := range r.Members {
		free -= m.Share
	}
	return max(0, free)
}

// owned counts the endpoints that a VM owns.
func (r Record) owned(vm plank.VMID) int {
	n := 0
	for _, c := range r.Claims {
		if c.VM == vm {
			n++
		}
	}
	return n
}
