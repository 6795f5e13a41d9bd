package node

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"knapweedplank.org/plank"
)

// Guards against an old version that stays in use while newer ones are announced in quick
// succession: the time since which it is superseded began anew with each of them.
func TestVersionStaysSupersededSinceFirstNewerOne(t *testing.T) {
	const interval = 1500 * time.Millisecond
	ref := plank.AdapterRef{Base: "m", Name: "a"}
	begin := time.Unix(1_800_000_000, 0)
	times := newReleaseTimes()
	at := func(v plank.VersionNumber) time.Time { return begin.Add(time.Duration(v) * interval) }
	for v := plank.VersionNumber(1); v <= 20; v++ {
		times.update(map[plank.AdapterRef]plank.VersionNumber{ref: v}, at(v))
		times.update(map[plank.AdapterRef]plank.VersionNumber{ref: v}, at(v).Add(interval/2))
		assert.Assert(t, times.supersededAt(ref, v).IsZero())
		for old := max(0, v-6); old < v; old++ {
			assert.Equal(t, times.supersededAt(ref, old), at(old+1), "version %d when %d is known", old, v)
		}
	}
	assert.Assert(t, len(times.releases[ref]) <= int(releaseHistory/interval)+2, "old versions are never forgotten")
}

// A view that skips versions supersedes all older ones at once.
func TestSkippedVersionsAreSuperseded(t *testing.T) {
	ref, now := plank.AdapterRef{Base: "m", Name: "a"}, time.Unix(1_800_000_000, 0)
	times := newReleaseTimes()
	times.update(map[plank.AdapterRef]plank.VersionNumber{ref: 1}, now)
	times.update(map[plank.AdapterRef]plank.VersionNumber{ref: 4}, now.Add(time.Second))
	for v, want := range map[plank.VersionNumber]time.Time{0: now, 1: now.Add(time.Second), 3: now.Add(time.Second), 4: {}} {
		assert.Equal(t, times.supersededAt(ref, v), want, "version %d", v)
	}
}
