// Package feed keeps a VM's control state up to date: by one watch of the platform
// and, while that fails or lags, by requests to other VMs.
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

// PoisonPrefix is the key prefix of the objects that store entries of the poison
// table.
const PoisonPrefix = "poison/"

// The intervals and page size of the feed.
const (
	minBackoff = 200 * time.Millisecond
	maxBackoff = 5 * time.Second
	// relistInterval is the mean time between lists of all objects, which find
	// changes that a watch missed.
	relistInterval = time.Minute
	// peerPollInterval is the interval at which the peers' note numbers are compared
	// with this VM's.
	peerPollInterval = 250 * time.Millisecond
	// maxLinksPerReply bounds the notes that a peer receives in one reply.
	maxLinksPerReply = 256
)

// A Feed passes changes to the control goroutine.
type Feed struct {
	store     plank.Store
	control   *ctrl.Controller
	transport *peer.Transport
	poison    *poison.Table
	log       *logrus.Entry

	mu      sync.Mutex
	records map[plank.DomainID]versionedRecord

	// snapshotNumber is the number of the last snapshot found in the store. Only the
	// goroutine that watches the platform uses it.
	snapshotNumber plank.NoteNumber

	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// New starts the feed.
func New(store plank.Store, control *ctrl.Controller, transport *peer.Transport, poisons *poison.Table, log *logrus.Entry) *Feed {
	ctx, cancel := context.WithCancel(context.Background())
	f := &Feed{
		store: store, control: control, transport: transport, poison: poisons, log: log,
		records: make(map[plank.DomainID]versionedRecord), cancel: cancel,
	}
	f.wg.Add(2)
	go func() {
		defer f.wg.Done()
		f.watchPlatform(ctx)
	}()
	go func() {
		defer f.wg.Done()
		f.watchPeers(ctx)
	}()
	return f
}

// Close stops the feed.
func (f *Feed) Close() {
	f.cancel()
	f.wg.Wait()
}

// Records returns the records of all domains, as last read.
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

// watchedPrefixes returns the key prefixes that the feed lists and watches.
func watchedPrefixes() []string {
	return []string{notes.Prefix, claim.KeyPrefix, PoisonPrefix, ctrl.VMListKey}
}

// watchPlatform repeats listAndWatch until ctx ends, with a backoff on errors.
func (f *Feed) watchPlatform(ctx context.Context) {
	backoff := minBackoff
	for ctx.Err() == nil {
		err := f.listAndWatch(ctx, &backoff)
		if err == nil || ctx.Err() != nil {
			continue
		}
		f.log.WithError(err).Warn("feed: platform unavailable")
		// Jitter spreads the VMs' requests after an outage.
		pause.For(ctx, backoff/2+rand.N(backoff))
		backoff = min(2*backoff, maxBackoff)
	}
}

// listAndWatch lists all objects, and watches them until the next list is due. It
// resets backoff once the list has succeeded.
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
	*backoff = minBackoff
	for relistAt := time.Now().Add(relistInterval/2 + rand.N(relistInterval)); time.Now().Before(relistAt); {
		changes, next, err := f.store.Watch(ctx, watchedPrefixes(), revision)
		if err != nil {
			return err
		}
		if next < revision {
			return nil // the platform lost its history; list again
		}
		for _, c := range changes {
			f.apply(c.Object)
		}
		revision = max(revision, next)
	}
	return nil
}

// loadSnapshot reads the catalog from the stored snapshot if the VM has no notes
// yet, so that it need not read all notes.
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

// saveSnapshot writes a snapshot if notes.NotesPerSnapshot notes were applied since
// the last one. VMs check this at different times, so that usually only one writes it.
func (f *Feed) saveSnapshot(ctx context.Context) error {
	c := f.control.Snapshot().Catalog
	if c.Number < f.snapshotNumber+notes.NotesPerSnapshot {
		return nil
	}
	head, _, err := notes.ReadSnapshotHead(ctx, f.store)
	if err != nil {
		return err
	}
	f.snapshotNumber = head.Number
	if c.Number < head.Number+notes.NotesPerSnapshot {
		return nil
	}
	f.log.WithField("number", c.Number).Info("feed: writing a snapshot")
	return notes.WriteSnapshot(ctx, f.store, c)
}

// list reads all objects that the feed watches, but of the notes only those after
// the last one applied. It returns the lowest revision of its reads, from which a
// watch misses no change.
func (f *Feed) list(ctx context.Context) (plank.Revision, error) {
	lowest := plank.Revision(0)
	for i, prefix := range watchedPrefixes() {
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
			f.applyAll(objects)
			after = objects[len(objects)-1].Key
		}
	}
	f.control.MarkSynced()
	return lowest, nil
}

// applyAll applies a page of objects, all notes of the page in one message.
func (f *Feed) applyAll(objects []plank.Object) {
	var links []notes.Record
	var raw [][]byte
	for _, o := range objects {
		if !strings.HasPrefix(o.Key, notes.Prefix) {
			f.apply(o)
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

// apply applies one object.
func (f *Feed) apply(o plank.Object) {
	switch {
	case strings.HasPrefix(o.Key, notes.Prefix):
		l, err := notes.DecodeRecord(o.Value)
		if err != nil {
			f.log.WithError(err).Error("feed: cannot decode release note")
			return
		}
		f.control.AddLinks([]notes.Record{l}, [][]byte{o.Value})
	case strings.HasPrefix(o.Key, claim.KeyPrefix):
		f.applyRecord(o)
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

func (f *Feed) applyRecord(o plank.Object) {
	d := plank.DomainID(strings.TrimPrefix(o.Key, claim.KeyPrefix))
	r, err := claim.Decode(d, o.Value)
	if err != nil {
		f.log.WithError(err).Error("feed: cannot decode domain record")
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if o.Version >= f.records[d].version {
		f.records[d] = versionedRecord{r, o.Version}
	}
}

// versionedRecord is a domain's record with the version of its object.
type versionedRecord struct {
	record  claim.Record
	version plank.ObjectVersion
}

// Record returns a domain's record as last read, and reports whether it was read.
func (f *Feed) Record(d plank.DomainID) (claim.Record, plank.ObjectVersion, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r, ok := f.records[d]
	return r.record, r.version, ok
}

// watchPeers fetches notes from the reachable peer that has applied the most, if
// that is more than this VM has. It serves while the platform is unavailable or lags.
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
			if err := f.fetchNotes(ctx, address, snap.Catalog.Number); err != nil && ctx.Err() == nil {
				f.log.WithError(err).Warn("feed: cannot fetch notes from a peer")
			}
		}
		pause.For(ctx, peerPollInterval)
	}
}

// fetchNotes fetches and applies the notes that follow note after from the VM at
// address.
func (f *Feed) fetchNotes(ctx context.Context, address string, after plank.NoteNumber) error {
	var reply wire.NotesReply
	call := &wire.Call{Body: &wire.Call_Notes{Notes: &wire.NotesRequest{After: uint64(after)}}}
	if err := f.transport.Call(ctx, address, call, &reply); err != nil {
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

// ServeNotes replies to a peer that requests notes.
func (f *Feed) ServeNotes(req *wire.NotesRequest, s *peer.Stream) {
	links, catalog := f.control.LinksAfter(plank.NoteNumber(req.GetAfter()), maxLinksPerReply)
	reply := &wire.NotesReply{Links: links}
	if catalog != nil {
		data, err := notes.EncodeCatalog(catalog)
		if err != nil {
			f.log.WithError(err).Error("feed: cannot encode catalog")
			return
		}
		reply.Catalog = data
	}
	// A peer that gets no reply repeats the request, perhaps to another VM.
	_ = s.Send(reply)
}

// StorePoison stores an entry about a request that crashes endpoints. It retries
// until the entry is stored or ctx ends.
func (f *Feed) StorePoison(ctx context.Context, e poison.Entry) {
	key := PoisonPrefix + string(e.Print)
	for ctx.Err() == nil {
		err := f.tryStorePoison(ctx, key, e)
		var conflict *plank.ConflictError
		if err == nil {
			return
		}
		if !errors.As(err, &conflict) {
			pause.For(ctx, maxBackoff)
		}
	}
}

// tryStorePoison merges the stored entry into the poison table, and writes the
// merged entry unless the store already has it.
func (f *Feed) tryStorePoison(ctx context.Context, key string, e poison.Entry) error {
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
