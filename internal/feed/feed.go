// Package feed defines how a VM learns of changes: by one watch of the
// platform and, while that fails or lags, from other VMs.
package feed

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/claim"
	"knapweedplank.org/plank/internal/ctrl"
	"knapweedplank.org/plank/internal/pause"
	"knapweedplank.org/plank/internal/peer"
	"knapweedplank.org/plank/internal/poison"
	"knapweedplank.org/plank/internal/wire"
	"knapweedplank.org/plank/pkg/notes"
)

// PoisonPrefix is where quarantined requests lie in the object API.
const PoisonPrefix = "poison/"

// The pace of the feed.
const (
	firstBackoff = 200 * time.Millisecond
	maxBackoff   = 5 * time.Second
	// relistEvery bounds how long a change that a watch missed stays unseen.
	relistEvery = time.Minute
	// peersEvery is the pause between looks at the peers' note numbers.
	peersEvery = 250 * time.Millisecond
	// pageLinks bounds the notes asked of a peer at once.
	pageLinks = 256
)

// A Feed keeps the control thread up to date.
type Feed struct {
	store   plank.Store
	control *ctrl.Controller
	hub     *peer.Transport
	poison  *poison.Table
	log     *logrus.Entry

	mu      sync.Mutex
	records map[plank.DomainID]versioned

	// snapshot is the number of the last snapshot seen. It belongs to the
	// goroutine that watches the platform.
	snapshot plank.NoteNumber

	cancel context.CancelFunc
	done   sync.WaitGroup
}

// New starts the feed.
func New(store plank.Store, control *ctrl.Controller, hub *peer.Transport, poisons *poison.Table, log *logrus.Entry) *Feed {
	ctx, cancel := context.WithCancel(context.Background())
	f := &Feed{
		store: store, control: control, hub: hub, poison: poisons, log: log,
		records: make(map[plank.DomainID]versioned), cancel: cancel,
	}
	f.done.Add(2)
	go func() {
		defer f.done.Done()
		f.watchPlatform(ctx)
	}()
	go func() {
		defer f.done.Done()
		f.watchPeers(ctx)
	}()
	return f
}

// Close stops the feed.
func (f *Feed) Close() {
	f.cancel()
	f.done.Wait()
}

// Records returns the records of all domains as last seen.
func (f *Feed) Records() []claim.Record {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make([]claim.Record, 0, len(f.records))
	for _, r := range f.records {
		out = append(out, r.record)
	}
	slices.SortFunc(out, func(a, b claim.Record) int { return strings.Compare(string(a.Domain), string(b.Domain)) })
	return out
}

// prefixes lists what the feed follows.
func prefixes() []string {
	return []string{notes.Prefix, claim.KeyPrefix, PoisonPrefix, ctrl.VMListKey}
}

// watchPlatform lists and then watches, over and over.
func (f *Feed) watchPlatform(ctx context.Context) {
	backoff := firstBackoff
	for ctx.Err() == nil {
		err := f.listAndWatch(ctx, &backoff)
		if err == nil || ctx.Err() != nil {
			continue
		}
		f.log.WithError(err).Warn("feed: platform unavailable")
		// Jitter spreads the VMs' return after an outage.
		pause.For(ctx, backoff/2+rand.N(backoff))
		backoff = min(2*backoff, maxBackoff)
	}
}

func (f *Feed) listAndWatch(ctx context.Context, backoff *time.Duration) error {
	if err := f.loadSnapshot(ctx); err != nil {
		return err
	}
	revision, err := f.list(ctx)
	if err != nil {
		return err
	}
	if err := f.saveSnapshot(ctx); err != nil {
		return err
	}
	*backoff = firstBackoff
	for relist := time.Now().Add(relistEvery/2 + rand.N(relistEvery)); time.Now().Before(relist); {
		changes, next, err := f.store.Watch(ctx, prefixes(), revision)
		if err != nil {
			return err
		}
		if next < revision {
			return nil // the platform lost its history
		}
		for _, c := range changes {
			f.take(c.Object)
		}
		revision = max(revision, next)
	}
	return nil
}

// loadSnapshot spares a VM without notes the reading of all of them.
func (f *Feed) loadSnapshot(ctx context.Context) error {
	if f.control.Snapshot().Catalog.Number > 0 {
		return nil
	}
	c, err := notes.ReadSnapshot(ctx, f.store)
	if err != nil || c == nil {
		return err
	}
	f.control.ReplaceCatalog(c)
	return nil
}

// saveSnapshot writes a snapshot when the last one is notes.SnapshotEvery old.
// VMs look at times of their own, so that mostly one of them writes it.
func (f *Feed) saveSnapshot(ctx context.Context) error {
	c := f.control.Snapshot().Catalog
	if c.Number < f.snapshot+notes.NotesPerSnapshot {
		return nil
	}
	head, _, err := notes.ReadSnapshotHead(ctx, f.store)
	if err != nil {
		return err
	}
	f.snapshot = head.Number
	if c.Number < head.Number+notes.NotesPerSnapshot {
		return nil
	}
	f.log.WithField("number", c.Number).Info("feed: snapshot written")
	return notes.WriteSnapshot(ctx, f.store, c)
}

// list reads everything that the feed follows, notes only after those in force.
func (f *Feed) list(ctx context.Context) (plank.Revision, error) {
	lowest := plank.Revision(0)
	for i, prefix := range prefixes() {
		after := ""
		if prefix == notes.Prefix {
			after = notes.RecordKey(f.control.Snapshot().Catalog.Number)
		}
		for page := 0; ; page++ {
			objects, revision, err := f.store.List(ctx, prefix, after)
			if err != nil {
				return 0, err
			}
			if page == 0 && (i == 0 || revision < lowest) {
				lowest = revision
			}
			if len(objects) == 0 {
				break
			}
			f.takeAll(objects)
			after = objects[len(objects)-1].Key
		}
	}
	f.control.MarkSynced()
	return lowest, nil
}

// takeAll takes a page of objects, notes together.
func (f *Feed) takeAll(objects []plank.Object) {
	var links []notes.Record
	var raw [][]byte
	for _, o := range objects {
		if !strings.HasPrefix(o.Key, notes.Prefix) {
			f.take(o)
			continue
		}
		if l, err := notes.DecodeRecord(o.Value); err == nil {
			links = append(links, l)
			raw = append(raw, o.Value)
		}
	}
	if len(links) > 0 {
		f.control.AddLinks(links, raw)
	}
}

// take takes one changed object.
func (f *Feed) take(o plank.Object) {
	switch {
	case strings.HasPrefix(o.Key, notes.Prefix):
		l, err := notes.DecodeRecord(o.Value)
		if err != nil {
			f.log.WithError(err).Error("feed: note cannot be read")
			return
		}
		f.control.AddLinks([]notes.Record{l}, [][]byte{o.Value})
	case strings.HasPrefix(o.Key, claim.KeyPrefix):
		f.takeRecord(o)
	case strings.HasPrefix(o.Key, PoisonPrefix):
		var e poison.Entry
		if err := json.Unmarshal(o.Value, &e); err == nil {
			f.poison.Merge(e)
		}
	case o.Key == ctrl.VMListKey:
		var l ctrl.PlatformList
		if err := json.Unmarshal(o.Value, &l); err == nil {
			f.control.SetVMList(l)
		}
	}
}

func (f *Feed) takeRecord(o plank.Object) {
	d := plank.DomainID(strings.TrimPrefix(o.Key, claim.KeyPrefix))
	r, err := claim.Decode(d, o.Value)
	if err != nil {
		f.log.WithError(err).Error("feed: domain record cannot be read")
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if o.Version >= f.records[d].version {
		f.records[d] = versioned{r, o.Version}
	}
}

// versioned is a domain's record with its version.
type versioned struct {
	record  claim.Record
	version plank.ObjectVersion
}

// Record returns a domain's record as last seen, if it was seen.
func (f *Feed) Record(d plank.DomainID) (claim.Record, plank.ObjectVersion, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r, ok := f.records[d]
	return r.record, r.version, ok
}

// watchPeers takes notes from a peer that has more of them. It covers a
// platform that is away or lags.
func (f *Feed) watchPeers(ctx context.Context) {
	for ctx.Err() == nil {
		snap := f.control.Snapshot()
		address := ""
		highest := snap.Catalog.Number
		for i := range snap.Peers {
			if p := &snap.Peers[i]; p.Applied > highest {
				highest, address = p.Applied, p.Address
			}
		}
		if address != "" {
			if err := f.fetch(ctx, address, snap.Catalog.Number); err != nil && ctx.Err() == nil {
				f.log.WithError(err).Warn("feed: notes of a peer not available")
			}
		}
		pause.For(ctx, peersEvery)
	}
}

// fetch takes the notes after a number from the VM at address.
func (f *Feed) fetch(ctx context.Context, address string, after plank.NoteNumber) error {
	var reply wire.NotesReply
	call := &wire.Call{Body: &wire.Call_Notes{Notes: &wire.NotesRequest{After: uint64(after)}}}
	if err := f.hub.Call(ctx, address, call, &reply); err != nil {
		return err
	}
	if len(reply.GetCatalog()) > 0 {
		c, err := notes.DecodeCatalog(reply.GetCatalog())
		if err != nil {
			return err
		}
		f.control.ReplaceCatalog(c)
	}
	var links []notes.Record
	for _, raw := range reply.GetLinks() {
		l, err := notes.DecodeRecord(raw)
		if err != nil {
			return err
		}
		links = append(links, l)
	}
	f.control.AddLinks(links, reply.GetLinks())
	return nil
}

// ServeNotes answers a peer that asks for notes.
func (f *Feed) ServeNotes(req *wire.NotesRequest, s *peer.Stream) {
	links, catalog := f.control.LinksAfter(plank.NoteNumber(req.GetAfter()), pageLinks)
	reply := &wire.NotesReply{Links: links}
	if catalog != nil {
		data, err := notes.EncodeCatalog(catalog)
		if err != nil {
			f.log.WithError(err).Error("feed: catalog cannot be encoded")
			return
		}
		reply.Catalog = data
	}
	// The peer may be gone; it asks another then.
	_ = s.Send(reply)
}

// StorePoison writes what this VM learned of a request that crashes endpoints.
func (f *Feed) StorePoison(ctx context.Context, e poison.Entry) {
	key := PoisonPrefix + string(e.Print)
	for ctx.Err() == nil {
		err := f.storePoison(ctx, key, e)
		var conflict *plank.ConflictError
		if err == nil {
			return
		}
		if !errors.As(err, &conflict) {
			pause.For(ctx, maxBackoff)
		}
	}
}

func (f *Feed) storePoison(ctx context.Context, key string, e poison.Entry) error {
	o, err := f.store.Get(ctx, key)
	if err != nil {
		return err
	}
	if o.Version != 0 {
		var stored poison.Entry
		if err := json.Unmarshal(o.Value, &stored); err != nil {
			return err
		}
		f.poison.Merge(stored)
		if merged, ok := f.poison.Lookup(e.Print); ok {
			e = merged
		}
		if stored.Crashes >= e.Crashes && stored.Quarantined == e.Quarantined {
			return nil
		}
	}
	value, err := json.Marshal(e)
	if err != nil {
		return err
	}
	_, err = f.store.Put(ctx, key, value, o.Version)
	return err
}
