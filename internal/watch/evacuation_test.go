package watch_test

import (
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"
	"gotest.tools/v3/assert"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/watch"
)

// evacuationFixture returns a fixture with a sink of evacuations, and what it logs.
func evacuationFixture() (*fixture, *test.Hook) {
	f := newFixture()
	log, hook := test.NewNullLogger()
	f.table.AddSink("evacuations/", &watch.EvacuationSink{Prefix: "evacuations/", View: f.view, Clock: f.clock, Log: logrus.NewEntry(log)})
	return f, hook
}

// entry returns the write of an entry, or its removal if value is empty.
func entry(domain, value string, rev int) plank.Change {
	c := plank.Change{Object: plank.Object{Key: "evacuations/" + domain}, Revision: plank.Revision(rev)}
	if value != "" {
		c.Object.Value, c.Object.Version = []byte(value), plank.ObjectVersion(rev)
	}
	return c
}

// Guards against an entry that is ignored because of its value, and against values that no log shows.
func TestEntryIsInForceWhateverItsValue(t *testing.T) {
	for _, value := range []string{"{}", " { } ", "null", "0", `"no"`, "[]", `{"until": 5}`, "{", "\xff\x00", strings.Repeat("x", 100_000)} {
		f, hook := evacuationFixture()
		f.table.Apply("evacuations/", []plank.Change{entry("a", value, 1)})
		assert.Assert(t, f.view.Load().Evacuated.IsOut("a"), "%.20q", value)
		unexpected := 0
		for _, e := range hook.AllEntries() {
			if strings.Contains(e.Message, "unexpected value") {
				unexpected++
				assert.Assert(t, len(e.Data["value"].(string)) <= 200)
			}
		}
		assert.Equal(t, unexpected == 0, strings.TrimSpace(value) == "{}" || value == " { } ", "%.20q", value)
	}
	f, _ := evacuationFixture()
	f.table.ApplyFromPeer("vm", plank.Change{Object: plank.Object{Key: "evacuations/a", Version: 4}, Revision: 4})
	assert.Assert(t, f.view.Load().Evacuated.IsOut("a"), "peers send no value")
}

// Guards against entries that come late, twice or in the wrong order and take effect nevertheless,
// and against a removal that is undone by them.
func TestNewestEntryCounts(t *testing.T) {
	f, _ := evacuationFixture()
	isOut := func() bool { return f.view.Load().Evacuated.IsOut("a") }
	f.table.Apply("evacuations/", []plank.Change{entry("a", "{}", 5), entry("b", "{}", 6), {Object: plank.Object{Key: "evacuations/", Version: 7}, Revision: 7}})
	assert.DeepEqual(t, f.view.Load().Evacuated.Out(), []plank.DomainID{"a", "b"})
	f.table.ApplyFromPeer("vm", entry("a", "", 4))
	assert.Assert(t, isOut(), "an older removal")
	f.table.Apply("evacuations/", []plank.Change{entry("a", "", 8), entry("a", "{}", 9)})
	assert.Assert(t, isOut(), "removed and written anew")
	f.table.ApplyFromPeer("vm", entry("a", "", 10))
	f.table.ApplyFromPeer("other", entry("a", "{}", 9))
	assert.Assert(t, !isOut(), "an older entry")
	f.clock.advance(time.Minute)
	f.table.Apply("evacuations/", []plank.Change{entry("a", "{}", 11), entry("a", "", 12)})
	assert.Assert(t, !isOut(), "written and removed at once")
	assert.Assert(t, !f.view.Load().Evacuated.HoldsBack("a", ^uint64(0), f.clock.Now(), time.Second), "the domain was not out of service")
	f.table.ApplyList("evacuations/", nil, 3, time.Time{})
	assert.Assert(t, f.view.Load().Evacuated.IsOut("b"), "a list from before the entry")
	f.table.ApplyList("evacuations/", nil, 20, time.Time{})
	assert.Equal(t, len(f.view.Load().Evacuated.Out()), 0, "a list shows the removal that was missed")
}

// Guards against an entry whose event the store lost: it was not found before the next list, 15 s
// later. The interval of lists of evacuations is the bound for them.
func TestLostEventIsFoundByTheNextList(t *testing.T) {
	f, _ := evacuationFixture()
	store := f.startEvacuationWatcher(t, 5*time.Second)
	store.answerList(t, listAnswer{rev: 5})
	f.clock.advance(5 * time.Second)
	store.answerWatch(t, watchAnswer{rev: 9})
	store.answerList(t, listAnswer{rev: 9, objects: []plank.Object{entry("a", "{}", 8).Object}})
	await(t, func() bool { return f.view.Load().Evacuated.IsOut("a") }, "not found")
}
