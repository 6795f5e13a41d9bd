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

// registerRetryDelay is the pause between attempts to register.
const registerRetryDelay = 500 * time.Millisecond

// seekTimeout is how long a VM waits for messages of the VMs that it was told of before it
// reads the records of all from the store: it tries two of them.
const seekTimeout = 2 * seedInterval

// A Member is a VM's record in the store.
type Member struct {
	Address  string
	Domain   plank.DomainID
	Boot     plank.BootID
	Capacity float64
}

// Register writes this VM's record to the store. If no VM sends messages to this VM, it
// contacts those that have a record. It retries until it succeeds or ctx ends.
func (m *Mesh) Register(ctx context.Context, store plank.Store) {
	for {
		err := m.register(ctx, store)
		if err == nil || ctx.Err() != nil {
			return
		}
		m.log.WithError(err).Warn("mesh: registration failed, will be retried")
		pause.For(ctx, registerRetryDelay)
	}
}

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
	if err != nil {
		return err
	}
	m.log.WithField("addr", m.self.Address).Info("mesh: registered")
	for until := m.clock.Now().Add(seekTimeout); m.clock.Now().Before(until); {
		if !pause.For(ctx, seekTimeout/10) || m.hears() {
			return nil
		}
	}
	return m.contactMembers(ctx, store)
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
			p.identify(rec.Boot, rec.Domain, rec.Address, rec.Capacity)
		}
		m.learn(rec.Address, now)
	}
	m.log.WithField("records", len(objects)).Info("mesh: member records read")
	return nil
}
