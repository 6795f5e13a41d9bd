// Package lease implements the lease under which an entry VM holds its share of
// the limits and its endpoints. A Manager renews the lease, registers the VM in
// the domain's record and fences VMs whose lease has expired.
package lease

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"knapweedplank.org/plank"
)

// KeyPrefix is the prefix of the keys of leases in the object API; domain and VM
// follow it.
const KeyPrefix = "vms/"

// Key returns the object key of a VM's lease.
func Key(d plank.DomainID, vm plank.VMID) string {
	return KeyPrefix + string(d) + "/" + string(vm)
}

// Timing of leases.
const (
	// TTL is the time from the sending of a renewal to the expiry of the lease.
	TTL = 6 * time.Second
	// RenewInterval is the mean time between renewals.
	RenewInterval = 2 * time.Second
	// AckTTL is how long an acknowledged heartbeat extends its sender's lease,
	// from when it was sent. The VM that acknowledged it does not fence the
	// sender within that time.
	AckTTL = 6 * time.Second
	// RetiredAckTTL replaces AckTTL for acknowledgements by a VM that has shut
	// down. While the platform is unavailable, it lets the remaining VMs finish
	// the calls that they serve. A later run of the VM fences no lease within that
	// time. It equals the longest deadline of users' calls.
	RetiredAckTTL = 15 * time.Second
	// Grace is added to TTL, AckTTL and RetiredAckTTL before a VM fences another
	// VM's lease. It covers the longest order to an endpoint and the longest loan,
	// both of which may begin just before the lease expires.
	Grace = 4 * time.Second
	// RestartHoldoff is how long a restarted VM does not use its share. After that
	// time, all loans of its earlier run have ended.
	RestartHoldoff = Grace
)

// The states of a lease.
const (
	StateLive    = "Live"
	StateLeaving = "Leaving"
	StateGone    = "Gone"   // released by its holder
	StateFenced  = "Fenced" // fenced by another VM; the holder must rejoin
)

// A Lease is the lease of one VM as encoded in the object API, together with the
// status that the VM reports.
type Lease struct {
	VM      plank.VMID
	Boot    plank.BootID
	Domain  plank.DomainID
	Address string
	State   string
	// Members lists the VMs whose acknowledgements extend the lease while the
	// platform is unavailable. Only they may fence it, unless the VM is no longer
	// on the platform's list.
	Members []plank.VMID
	// Applied is the number of the last note in force on the VM.
	Applied plank.NoteNumber
	// Seq changes with each renewal.
	Seq   uint64
	Token plank.WriteToken
	// FencedBy is the VM that fenced the lease.
	FencedBy plank.VMID `json:",omitempty"`
}

// Decode decodes a stored lease. An empty value is an empty lease.
func Decode(value []byte) (Lease, error) {
	var l Lease
	if len(value) == 0 {
		return l, nil
	}
	err := json.Unmarshal(value, &l)
	return l, eris.Wrap(err, "decode lease")
}

// Encode returns the encoding to store.
func (l Lease) Encode() ([]byte, error) {
	value, err := json.Marshal(l)
	return value, eris.Wrap(err, "encode lease")
}

// mayFence reports whether vm is one of the members that may fence the lease.
func (l Lease) mayFence(vm plank.VMID) bool {
	return slices.Contains(l.Members, vm)
}
