package mesh

import (
	"context"
	"encoding/json"
	"time"

	"github.com/sirupsen/logrus"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/pause"
)

// PrefixMembers is the key prefix of the VMs' records in the platform's store.
const PrefixMembers = "members/"

// registerRetryDelay is the pause between attempts to register.
const registerRetryDelay = 500 * time.Millisecond

// A Member is a VM's record in the store.
type Member struct {
	Address string
	Domain  plank.DomainID
	Boot    plank.BootID
}

// Register writes this VM's record to the store and contacts all VMs that have one.
// It retries until it succeeds or ctx ends.
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
	objects, _, err := store.List(ctx, PrefixMembers, "")
	if err != nil {
		return err
	}
	key := PrefixMembers + string(m.self.VM)
	var version plank.ObjectVersion
	for _, o := range objects {
		if o.Key == key {
			version = o.Version
			continue
		}
		var rec Member
		if err := json.Unmarshal(o.Value, &rec); err != nil {
			m.log.WithField("key", o.Key).WithError(err).Warn("mesh: ignored an unreadable member record")
			continue
		}
		m.Contact(rec.Address)
	}
	value, err := json.Marshal(Member{Address: m.self.Address, Domain: m.self.Domain, Boot: m.self.Boot})
	if err != nil {
		return err
	}
	_, err = store.Put(ctx, key, value, version)
	if err == nil {
		m.log.WithFields(logrus.Fields{"records": len(objects), "addr": m.self.Address}).Info("mesh: registered")
	}
	return err
}
