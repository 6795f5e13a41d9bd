package watch_test

import (
	"encoding/json"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/view"
	"knapweedplank.org/plank/internal/watch"
)

// A manualClock stands still unless a test advances it. It is safe for concurrent use.
type manualClock struct {
	mu  sync.Mutex
	now time.Time
}

// Now implements plank.Clock.
func (c *manualClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *manualClock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

// A decoder decodes objects that are plank's own types in JSON.
type decoder struct{}

// Manifest implements plank.RecordDecoder.
func (decoder) Manifest(value []byte) (*plank.Manifest, error) {
	m := new(plank.Manifest)
	return m, json.Unmarshal(value, m)
}

// Instance implements plank.RecordDecoder.
func (decoder) Instance(id plank.EndpointID, value []byte) (plank.Instance, error) {
	inst := plank.Instance{}
	err := json.Unmarshal(value, &inst)
	inst.ID = id
	return inst, err
}

// Release implements plank.RecordDecoder.
func (decoder) Release(value []byte) (plank.Residency, error) {
	var r plank.Residency
	return r, json.Unmarshal(value, &r)
}

type fixture struct {
	clock     *manualClock
	view      *view.Publisher
	table     *watch.Table
	instances *watch.InstanceSink
	changed   []string
}

func newFixture() *fixture {
	log := logrus.New()
	log.SetOutput(io.Discard)
	f := &fixture{clock: &manualClock{now: time.Unix(1_800_000_000, 0)}, view: view.New(nil)}
	note := func(key string) { f.changed = append(f.changed, key) }
	f.table = watch.NewTable(note)
	f.instances = watch.NewInstanceSink("servers/", decoder{}, f.view, note, f.clock, log.WithField("t", 1))
	f.table.AddSink("servers/", f.instances)
	f.table.AddSink("config/", &watch.ManifestSink{Key: "config/main", Decoder: decoder{}, View: f.view, Log: log.WithField("t", 1)})
	return f
}

func object(key string, rev int, value any) plank.Object {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return plank.Object{Key: key, Value: data, Version: plank.ObjectVersion(rev)}
}

func change(key string, rev int, value any) plank.Change {
	return plank.Change{Object: object(key, rev, value), Revision: plank.Revision(rev)}
}

func (f *fixture) has(id plank.EndpointID) bool {
	_, ok := f.view.Load().Instances[id]
	return ok
}

// The newest revision of an object wins, whatever its source, and a deletion is not
// undone by an older change.
func TestNewestRevisionWins(t *testing.T) {
	f := newFixture()
	worker := plank.Instance{Service: "s", Addr: "a:1"}
	f.table.Apply("servers/", []plank.Change{change("servers/e1", 5, worker)})
	assert.Assert(t, f.has("e1"))
	f.table.ApplyFromPeer("peer", plank.Change{Object: plank.Object{Key: "servers/e1"}, Revision: 9})
	assert.Assert(t, !f.has("e1"))
	f.table.ApplyFromPeer("peer", change("servers/e1", 7, worker))
	f.table.Apply("servers/", []plank.Change{change("servers/e1", 5, worker)})
	assert.Assert(t, !f.has("e1"))
	f.table.ApplyList("servers/", []plank.Object{object("servers/e1", 12, worker)}, 12, time.Time{})
	assert.Assert(t, f.has("e1"))
}

// An older version of the configuration never replaces a newer one.
func TestConfigurationIsNotReplacedByOlderVersion(t *testing.T) {
	f := newFixture()
	f.table.ApplyFromPeer("peer", change("config/main", 20, plank.Manifest{Version: 7}))
	f.table.Apply("config/", []plank.Change{change("config/main", 18, plank.Manifest{Version: 6})})
	f.table.ApplyList("config/", []plank.Object{object("config/main", 25, plank.Manifest{Version: 5})}, 25, f.clock.Now())
	assert.Equal(t, f.view.Load().Manifest.Version, plank.ManifestVersion(7))
}

// Registrations that lapsed during an outage of the store are kept for the grace
// period, and their removal is reported only afterwards.
func TestGraceAfterAnOutage(t *testing.T) {
	f := newFixture()
	worker := plank.Instance{Service: "s", Addr: "a:1"}
	f.table.ApplyList("servers/", []plank.Object{object("servers/e1", 3, worker), object("servers/e2", 4, worker)}, 5, time.Time{})
	f.changed = nil
	f.table.ApplyList("servers/", nil, 9, f.clock.Now())
	assert.Assert(t, f.has("e1") && f.has("e2"))
	f.clock.advance(time.Second)
	f.table.Apply("servers/", []plank.Change{change("servers/e2", 11, worker)})
	f.clock.advance(1500 * time.Millisecond)
	f.instances.Expire()
	assert.Assert(t, !f.has("e1") && f.has("e2"))
	assert.DeepEqual(t, f.changed, []string{"servers/e1"})
}

// Without an outage a registration that ends is removed at once.
func TestRemovedAtOnceWithoutOutage(t *testing.T) {
	f := newFixture()
	f.table.ApplyList("servers/", []plank.Object{object("servers/e1", 3, plank.Instance{Service: "s"})}, 5, time.Time{})
	f.table.ApplyList("servers/", nil, 9, time.Time{})
	assert.Assert(t, !f.has("e1"))
}

// A change of order counts alone is not reported to other VMs.
func TestOnlySignificantChangesAreReported(t *testing.T) {
	f := newFixture()
	f.table.Apply("servers/", []plank.Change{change("servers/e1", 3, plank.Instance{Service: "s", Seq: 1})})
	f.table.Apply("servers/", []plank.Change{change("servers/e1", 4, plank.Instance{Service: "s", Seq: 2})})
	f.table.Apply("servers/", []plank.Change{change("servers/e1", 5, plank.Instance{Service: "s", Seq: 2, Leaving: true})})
	assert.DeepEqual(t, f.changed, []string{"servers/e1", "servers/e1"})
}
