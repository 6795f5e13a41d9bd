// Package lease defines the lease by which an entry VM holds its share of the
// limits and its endpoints, and the keeper that renews it, joins the domain's
// record and takes over from VMs whose lease lapsed.
package lease

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"knapweedplank.org/plank"
)

// KeyPrefix is where the leases lie in the object API, by domain and VM.
const KeyPrefix = "vms/"

// Key returns the object key of a VM's lease.
func Key(d plank.DomainID, vm plank.VMID) string {
	return KeyPrefix + string(d) + "/" + string(vm)
}

// The times of leases.
const (
	// TTL is how long a lease holds after the renewal was sent.
	TTL = 6 * time.Second
	// RenewInterval is the pause between renewals.
	RenewInterval = 2 * time.Second
	// AckTTL is how long a heartbeat that was answered holds up the
	// sender's lease on the answerer's side.
	AckTTL = 6 * time.Second
	// RetiredAckTTL is the same for the last heartbeat of a VM that stops while the
	// platform is away, so that its peers go on for what they still have to serve.
	// No later run of the VM takes over within it. It is the longest deadline of
	// the users' calls.
	RetiredAckTTL = 15 * time.Second
	// Grace is how much longer than TTL, ConsentTime and RetireTime a taker waits. It
	// covers the longest order to an endpoint and the longest loan, both of
	// which may begin just before the lease lapses.
	Grace = 4 * time.Second
	// RestartHoldoff is how long a restarted VM leaves its share unused, until all
	// loans of its earlier run have ended.
	RestartHoldoff = Grace
)

// The states of a VM.
const (
	StateLive    = "Live"
	StateLeaving = "Leaving"
	StateGone    = "Gone"   // left by itself
	StateFenced  = "Fenced" // taken over; the VM must join anew
)

// A Lease is the stored record of one VM, together with all that the VM
// reports.
type Lease struct {
	VM      plank.VMID
	Boot    plank.BootID
	Domain  plank.DomainID
	Address string
	State   string
	// Members lists the VMs whose consent holds up the lease while the
	// platform is away. Only they may fence it, unless the platform's list no
	// longer has the VM.
	Members []plank.VMID
	// Applied is the number of the last note in force on the VM.
	Applied plank.NoteNumber
	// Seq changes with each renewal.
	Seq   uint64
	Token plank.WriteToken
	// FencedBy names the VM that took over.
	FencedBy plank.VMID `json:",omitempty"`
}

// Decode reads a stored lease.
func Decode(value []byte) (Lease, error) {
	var l Lease
	if len(value) == 0 {
		return l, nil
	}
	err := json.Unmarshal(value, &l)
	return l, eris.Wrap(err, "decode lease")
}

// Encode returns the stored form.
func (l Lease) Encode() ([]byte, error) {
	value, err := json.Marshal(l)
	return value, eris.Wrap(err, "encode lease")
}

// mayFence reports whether the VM is one of those that the holder listens to.
func (l Lease) mayFence(vm plank.VMID) bool {
	return slices.Contains(l.Members, vm)
}
