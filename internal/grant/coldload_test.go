package grant_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"knapweedplank.org/plank/internal/grant"
)

func TestMayStartColdLoad(t *testing.T) {
	for _, test := range []struct {
		name                           string
		held, engines, here, elsewhere int
		want                           bool
	}{
		{"first load", 47, 140, 0, 0, true},
		{"within its share, regardless of the others", 47, 140, 17, 90, true},
		{"beyond its share while others use theirs", 47, 140, 20, 38, false},
		{"beyond its share while others have few loads", 47, 140, 40, 5, true},
		{"beyond the limit", 47, 140, 56, 0, false},
		{"all engines of a small fleet", 9, 9, 7, 0, true},
		{"small fleet at the limit", 9, 9, 8, 0, false},
		{"one load is always allowed", 1, 1100, 0, 600, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			assert.Equal(t, grant.MayStartColdLoad(test.held, test.engines, test.here, test.elsewhere), test.want)
		})
	}
}

// A load that is long overdue, as on an engine that crashed, does not count against
// the limit of cold loads.
func TestOverdueLoadsDoNotCount(t *testing.T) {
	h := newHarness(limits)
	h.loadTime = 10 * time.Second
	h.reserve(1, 0)
	h.advance(300 * time.Millisecond)
	assert.Equal(t, h.engine.ColdLoads(h.now), 1)
	h.advance(time.Second)
	assert.Equal(t, h.engine.ColdLoads(h.now), 0)
}
