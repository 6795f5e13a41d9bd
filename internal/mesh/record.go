package mesh

import (
	"time"

	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/wire"
)

// This file defines the records by which a relay forwards the states of VMs. A VM numbers
// its messages, and only a record with a higher number than the last message of the VM
// is applied, so that records that arrive twice, late or by two relays count once, and
// the age of a VM that has failed grows on all paths.

// aliveRecordInterval is the interval of the records of a VM while they say only that it is
// alive.
const aliveRecordInterval = 400 * time.Millisecond

// The expected intervals of the records of VMs of this and of other domains.
const (
	recordInterval      = 300 * time.Millisecond
	crossRecordInterval = 550 * time.Millisecond
)

// A sentRecord is what a stream has carried of a VM.
type sentRecord struct {
	index    uint32
	boot     plank.BootID
	sequence uint64
	change   uint64 // last change of the VM's state
	sentAt   time.Time
}

// composeRecords returns the records for a VM since the position of its stream. The lock
// is held.
func (m *Mesh) composeRecords(pos *position, to *receiver, now time.Time) []*wire.Record {
	if !m.large() || !to.readsRecords {
		return nil
	}
	if pos.records == nil {
		pos.records = make(map[plank.VMID]*sentRecord)
	}
	var out []*wire.Record
	for vm, p := range m.peers {
		if p.sequence == 0 || p.status == nil || p.Address == to.addr || !m.forwards(p, to, now) {
			continue
		}
		sent := pos.records[vm]
		if sent == nil {
			sent = &sentRecord{index: uint32(len(pos.records))}
			pos.records[vm] = sent
		}
		if sent.boot == p.Boot && sent.sequence == p.sequence {
			continue
		}
		state := p.stateSince(sent, to.omitCalls)
		if state == nil && now.Sub(sent.sentAt) < aliveRecordInterval {
			continue
		}
		sent.boot, sent.sequence, sent.change, sent.sentAt = p.Boot, p.sequence, m.changes, now
		out = append(out, &wire.Record{Index: sent.index, Sequence: p.sequence, AgeMillis: uint32(now.Sub(p.LastReceived).Milliseconds()), State: state})
	}
	return out
}

// forwards reports whether the state of p is sent to a VM. The lock is held.
func (m *Mesh) forwards(p *Peer, to *receiver, now time.Time) bool {
	switch {
	case now.Sub(p.LastReceived) > goneTimeout:
		return false
	case to.seeking && p.Domain == to.domain:
		return true
	case m.topology.relaying:
		// Relays of domains that have no seed find each other by the relays of others.
		return to.domain == m.self.Domain || p.Domain == m.self.Domain || p.Relaying
	}
	// Other VMs forward only what the relays of their domain cannot have received: VMs
	// that send to them as they seek relays, or after a long partition.
	return to.domain == m.self.Domain && p.direct && p.isDirectlyAlive(now) && !(p.Domain == m.self.Domain && p.Relaying)
}

// stateSince returns what a stream has not yet carried of the VM's state; nil if there
// is nothing.
func (p *Peer) stateSince(sent *sentRecord, omitCalls bool) *wire.Gossip {
	isNew := sent.boot != p.Boot
	var usages []*wire.Usage
	if isNew || p.usagesChange > sent.change {
		for _, u := range p.usages {
			if isNew || u.change > sent.change {
				usages = append(usages, u.usage)
			}
		}
	}
	if !isNew && len(usages) == 0 {
		if p.statusChange <= sent.change {
			return nil
		}
		return p.sharedRecord(omitCalls)
	}
	g := statusOf(p.status)
	g.Flights, g.Usages = p.sharedRecord(omitCalls).Flights, usages
	if isNew {
		g.Vm, g.Boot, g.Domain, g.Address, g.Capacity = string(p.VM), string(p.Boot), string(p.Domain), p.Address, p.Capacity
	}
	return g
}

// A recordTable holds the VMs that the records of a stream have named, by index.
type recordTable map[uint32]*namedVM

// A namedVM is a VM that a record of a stream has named.
type namedVM struct {
	identity *wire.Gossip
	// deferred holds records that were not applied, as the VM's run seemed to have
	// ended. They are applied before its next record.
	deferred []*wire.Record
}

// maxDeferred bounds the deferred records of a VM on one stream.
const maxDeferred = 16

// A merged is the part of a message or record that the local state merges.
type merged struct {
	vm    plank.VMID
	boot  plank.BootID
	state *wire.Gossip
	age   time.Duration
}

// mergeRecord applies a record that arrived at now and returns what the local state is to
// merge. The lock is held.
func (m *Mesh) mergeRecord(t recordTable, r *wire.Record, now time.Time) []merged {
	if r.State.GetVm() != "" {
		t[r.Index] = &namedVM{identity: r.State}
	}
	named := t[r.Index]
	if named == nil {
		m.log.WithField("index", r.Index).Warn("mesh: ignored a record of a VM that its stream has not named")
		return nil
	}
	id := named.identity
	vm, boot := plank.VMID(id.Vm), plank.BootID(id.Boot)
	if vm == m.self.VM {
		return nil
	}
	p := m.peer(vm, now)
	received := now.Add(-time.Duration(r.AgeMillis) * time.Millisecond)
	if p.Boot != boot && received.Before(p.LastReceived) {
		if r.State != nil && len(named.deferred) < maxDeferred {
			named.deferred = append(named.deferred, r)
		}
		return nil
	}
	m.identify(p, boot, plank.DomainID(id.Domain), id.Address, id.Capacity)
	var out []merged
	for _, r := range append(named.deferred, r) {
		if r.Sequence <= p.sequence {
			continue
		}
		p.sequence = r.Sequence
		state := r.State
		if state != nil {
			m.changes++
			p.merge(state, m.changes)
		} else {
			state = &wire.Gossip{NewsMicros: -1, Settled: p.Settled}
		}
		out = append(out, merged{vm: vm, boot: boot, state: state, age: now.Sub(received)})
	}
	named.deferred = nil
	if len(out) > 0 {
		p.direct, p.readsRecords = false, true
		p.sendInterval = crossRecordInterval
		if p.Domain == m.self.Domain {
			p.sendInterval = recordInterval
		}
		m.markReceived(p, received, now)
	}
	return out
}
