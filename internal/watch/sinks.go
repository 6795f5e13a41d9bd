package watch

import (
	"context"
	"maps"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/pause"
	"knapweedplank.org/plank/internal/view"
)

const (
	// outageGrace is how long registrations that lapsed while the store was unavailable
	// may be missing afterwards: endpoints register again within about 2 s.
	outageGrace = 2 * time.Second
	// expireInterval is the interval at which Run looks for registrations to remove.
	expireInterval = 100 * time.Millisecond
)

// A ManifestSink publishes the configuration.
type ManifestSink struct {
	Key     string
	Decoder plank.RecordDecoder
	View    *view.Publisher
	Log     *logrus.Entry
}

var _ Sink = (*ManifestSink)(nil)

// Apply implements Sink.
func (s *ManifestSink) Apply(b Batch) {
	for _, c := range b.Changes {
		if c.Object.Version > 0 {
			s.put(c.Object, b.Source)
		}
	}
}

// IsSignificant implements Sink.
func (s *ManifestSink) IsSignificant(c plank.Change) bool { return c.Object.Key == s.Key }

func (s *ManifestSink) put(o plank.Object, source string) {
	if o.Key != s.Key {
		return
	}
	begin := time.Now()
	m, err := s.Decoder.Manifest(o.Value)
	if err != nil {
		s.Log.WithField("revision", o.Version).WithError(err).Error("watch: unreadable configuration, the last one stays in force")
		return
	}
	m.Size = len(o.Value)
	if s.View.SetManifest(m) {
		s.Log.WithFields(logrus.Fields{
			"version": m.Version, "revision": o.Version, "routes": len(m.Routes), "source": source,
			"bytes": len(o.Value), "apply_ms": time.Since(begin).Milliseconds(),
		}).Info("watch: configuration in force")
	}
}

// A ReleaseSink publishes announced adapter versions.
type ReleaseSink struct {
	Decoder plank.RecordDecoder
	View    *view.Publisher
	Log     *logrus.Entry
}

var _ Sink = (*ReleaseSink)(nil)

// Apply implements Sink.
func (s *ReleaseSink) Apply(b Batch) {
	var all []plank.Residency
	for _, c := range b.Changes {
		if c.Object.Version > 0 {
			all = s.decode(all, c.Object)
		}
	}
	s.View.AddVersions(all)
}

// IsSignificant implements Sink.
func (s *ReleaseSink) IsSignificant(plank.Change) bool { return true }

func (s *ReleaseSink) decode(all []plank.Residency, o plank.Object) []plank.Residency {
	r, err := s.Decoder.Release(o.Value)
	if err != nil {
		s.Log.WithField("key", o.Key).WithError(err).Warn("watch: ignored an unreadable adapter version")
		return all
	}
	s.Log.WithFields(logrus.Fields{"adapter": r.Adapter.String(), "version": r.Version}).Info("watch: adapter version known")
	return append(all, r)
}

// An InstanceSink publishes the registered endpoints. A registration that is missing
// right after an outage of the store is kept until the grace period has passed.
type InstanceSink struct {
	prefix  string
	decoder plank.RecordDecoder
	view    *view.Publisher
	clock   plank.Clock
	log     *logrus.Entry
	// onRemove is called with the key of each endpoint that was removed.
	onRemove func(key string)
	onCold   func(inst plank.Instance, wasKnown bool) // as in OnCold; may be nil

	mu sync.Mutex
	// entries holds the last readable registration of each endpoint.
	entries map[plank.EndpointID]plank.Instance
	// missing holds when registrations that are missing in the grace period expire.
	missing map[plank.EndpointID]time.Time
	// graceUntil is the end of the grace period after the last outage of the store.
	graceUntil time.Time
}

var _ Sink = (*InstanceSink)(nil)

// NewInstanceSink returns a sink for the registrations below prefix.
func NewInstanceSink(prefix string, decoder plank.RecordDecoder, v *view.Publisher, onRemove func(string), clock plank.Clock, log *logrus.Entry) *InstanceSink {
	return &InstanceSink{
		prefix: prefix, decoder: decoder, view: v, onRemove: onRemove, clock: clock, log: log,
		entries: make(map[plank.EndpointID]plank.Instance), missing: make(map[plank.EndpointID]time.Time),
	}
}

// Apply implements Sink.
func (s *InstanceSink) Apply(b Batch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if end := b.OutageEnd.Add(outageGrace); !b.OutageEnd.IsZero() && end.After(s.graceUntil) {
		s.graceUntil = end
	}
	for _, c := range b.Changes {
		if c.Object.Version == 0 {
			s.unregister(s.id(c.Object))
		} else {
			s.put(c.Object)
		}
	}
	s.publish()
}

// IsSignificant implements Sink. Order counts and adapter lists are not significant,
// since the endpoints' holders send them. A removal is reported by onRemove instead,
// once a grace period has passed.
func (s *InstanceSink) IsSignificant(c plank.Change) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, known := s.entries[s.id(c.Object)]
	if c.Object.Version == 0 {
		return false
	}
	inst, err := s.decoder.Instance(s.id(c.Object), c.Object.Value)
	return err == nil && (!known || !sameInstance(old, inst) || s.coldChanged(old, inst))
}

// sameInstance reports whether two registrations are equal for routing.
func sameInstance(a, b plank.Instance) bool {
	return a.Service == b.Service && a.Addr == b.Addr && a.Domain == b.Domain && a.Born.Equal(b.Born) && a.Slots == b.Slots && a.Leaving == b.Leaving
}

// Run calls Expire at intervals until ctx ends.
func (s *InstanceSink) Run(ctx context.Context) {
	for pause.For(ctx, expireInterval) {
		s.Expire()
	}
}

// Expire removes the missing registrations whose grace period has passed.
func (s *InstanceSink) Expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, removed := s.clock.Now(), false
	for id, until := range s.missing {
		if !until.After(now) {
			s.remove(id)
			removed = true
		}
	}
	if removed {
		s.publish()
	}
}

func (s *InstanceSink) id(o plank.Object) plank.EndpointID {
	return plank.EndpointID(strings.TrimPrefix(o.Key, s.prefix))
}

// put records a registration. An unreadable one is ignored, and the last readable one
// stays. The lock is held.
func (s *InstanceSink) put(o plank.Object) {
	id := s.id(o)
	inst, err := s.decoder.Instance(id, o.Value)
	if err != nil {
		s.log.WithField("endpoint", id).WithError(err).Warn("watch: ignored a registration")
		return
	}
	delete(s.missing, id)
	if old, ok := s.entries[id]; !ok || !sameInstance(old, inst) {
		s.log.WithFields(logrus.Fields{
			"endpoint": id, "service": inst.Service, "addr": inst.Addr, "domain": inst.Domain,
			"leaving": inst.Leaving, "born": inst.Born.UnixMilli(), "revision": o.Version,
		}).Info("watch: endpoint registered")
	}
	s.reportCold(inst)
	s.entries[id] = inst
}

// unregister handles the end of a registration. The lock is held.
func (s *InstanceSink) unregister(id plank.EndpointID) {
	if _, ok := s.entries[id]; !ok {
		return
	}
	if s.graceUntil.After(s.clock.Now()) {
		if _, ok := s.missing[id]; !ok {
			s.missing[id] = s.graceUntil
		}
		return
	}
	s.remove(id)
}

// remove deletes an endpoint. The lock is held.
func (s *InstanceSink) remove(id plank.EndpointID) {
	delete(s.entries, id)
	delete(s.missing, id)
	s.log.WithField("endpoint", id).Info("watch: endpoint gone")
	s.onRemove(s.prefix + string(id))
}

// publish copies the registrations to the view. The lock is held.
func (s *InstanceSink) publish() { s.view.SetInstances(maps.Clone(s.entries)) }
