package mesh

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"time"

	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/pause"
)

// PrefixMembers is the key prefix of the VMs' records in the platform's store.
const PrefixMembers = "members/"

// registerRetryDelay is the interval at which a VM checks whether to register, and tries.
const registerRetryDelay = 500 * time.Millisecond

// The times of registration.
const (
	// registerDelay is how long a VM that starts waits for others to tell how large the
	// fleet is.
	registerDelay = 500 * time.Millisecond
	// seekTimeout is how long a VM waits for messages of the VMs that it was told of
	// before it reads the records of all from the store: it tries two of them.
	seekTimeout = 2 * seedInterval
)

// A Member is a VM's record in the store.
type Member struct {
	Address  string
	Domain   plank.DomainID
	Boot     plank.BootID
	Capacity float64
}

// Register writes this VM's record to the store, by which VMs find others whose seeds are
// gone. In a large fleet only relays have records. A VM to which no other sends messages
// writes one as well, and contacts all VMs that have one. Register retries until it
// succeeds or ctx ends.
func (m *Mesh) Register(ctx context.Context, store plank.Store) {
	for registered := false; ; {
		found := m.hears()
		if !registered && m.mustRegister(found) {
			if err := m.register(ctx, store); err != nil {
				m.log.WithError(err).Warn("mesh: registration failed, will be retried")
			} else {
				registered = true
			}
		}
		if registered && !found && m.clock.Now().Sub(m.startedAt) >= seekTimeout {
			if err := m.contactMembers(ctx, store); err != nil {
				m.log.WithError(err).Warn("mesh: member records not read, will be retried")
			} else {
				return
			}
		}
		if registered && found || !pause.For(ctx, registerRetryDelay) {
			return
		}
	}
}

// mustRegister reports whether this VM writes its record now. found is set if another VM
// sends messages to it.
func (m *Mesh) mustRegister(found bool) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.large() {
		return m.topology.relaying
	}
	now := m.clock.Now()
	running := now.Sub(m.startedAt)
	return !now.Before(m.quietUntil) && running >= registerDelay && (found || running >= seekTimeout)
}

// register writes this VM's record.
func (m *Mesh) register(ctx context.Context, store plank.Store) error {
	key := PrefixMembers + string(m.self.VM)
	value, err := json.Marshal(Member{Address: m.self.Address, Domain: m.self.Domain, Boot: m.self.Boot, Capacity: m.self.Capacity})
	if err != nil {
		return err
	}
	_, err = store.Put(ctx, key, value, 0)
	var conflict *plank.ConflictError
	if errors.As(err, &conflict) {
		var old plank.Object
		if old, err = store.Get(ctx, key); err == nil {
			_, err = store.Put(ctx, key, value, old.Version)
		}
	}
	if err == nil {
		m.log.WithField("addr", m.self.Address).Info("mesh: registered")
	}
	return err
}

// hears reports whether any VM is alive.
func (m *Mesh) hears() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	for _, p := range m.peers {
		if p.IsAlive(now) {
			return true
		}
	}
	return false
}

// contactMembers contacts all VMs that have a record in the store.
func (m *Mesh) contactMembers(ctx context.Context, store plank.Store) error {
	objects, _, err := store.List(ctx, PrefixMembers, "")
	if err != nil {
		return err
	}
	now := m.clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, o := range objects {
		var rec Member
		if err := json.Unmarshal(o.Value, &rec); err != nil {
			m.log.WithField("key", o.Key).WithError(err).Warn("mesh: ignored an unreadable member record")
			continue
		}
		vm := plank.VMID(strings.TrimPrefix(o.Key, PrefixMembers))
		if vm == m.self.VM {
			continue
		}
		if p := m.peer(vm, now); p.LastReceived.IsZero() {
			m.identify(p, rec.Boot, rec.Domain, rec.Address, rec.Capacity)
		}
		m.learn(rec.Address, now)
	}
	m.log.WithField("records", len(objects)).Info("mesh: member records read")
	return nil
}
