package poison_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/poison"
)

// A request is quarantined at its second crash if it ran alone, and at its third if other
// requests ran beside it.
func TestQuarantineByFingerprint(t *testing.T) {
	for _, test := range []struct {
		alone     bool
		wantAfter int
	}{{true, 2}, {false, 3}} {
		table := poison.New(&manualClock{time.Unix(1_800_000_000, 0)}, nil)
		for crashes := 1; crashes <= 3; crashes++ {
			table.RecordCrash([]plank.Fingerprint{"f"}, test.alone)
			e, ok := table.Lookup("f")
			assert.Assert(t, ok)
			assert.Equal(t, e.Quarantined, crashes >= test.wantAfter, "alone %v, %d crashes", test.alone, crashes)
		}
	}
}
