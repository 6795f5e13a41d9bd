package grant_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"knapweedplank.org/plank/internal/grant"
)

func TestMayLoadCold(t *testing.T) {
	for _, test := range []struct {
		name                           string
		held, engines, here, elsewhere int
		want                           bool
	}{
		{"the first load", 47, 140, 0, 0, true},
		{"within its part, whatever the others do", 47, 140, 17, 90, true},
		{"beyond its part while others use theirs", 47, 140, 20, 38, false},
		{"beyond its part while others load little", 47, 140, 40, 5, true},
		{"beyond the limit", 47, 140, 56, 0, false},
		{"all engines of a small fleet", 9, 9, 7, 0, true},
		{"a full small fleet", 9, 9, 8, 0, false},
		{"one engine always loads", 1, 1100, 0, 600, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			assert.Equal(t, grant.MayStartColdLoad(test.held, test.engines, test.here, test.elsewhere), test.want)
		})
	}
}

// Loads on an engine that broke down do not use up what the weight store allows,
// nor do places that are given up.
func TestLostLoadsDoNotCount(t *testing.T) {
	w := newWorld(limits)
	w.loadTime = 10 * time.Second
	w.ask(1, 0)
	w.advance(300 * time.Millisecond)
	assert.Equal(t, w.engine.ColdLoads(w.now), 1)
	w.advance(time.Second)
	assert.Equal(t, w.engine.ColdLoads(w.now), 0)
}
