package front_test

import (
	"testing"

	"gotest.tools/v3/assert"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/front"
)

// VMs that hold no dispatch lease receive only the counts of plain services.
func TestInFlightMessagesWithoutEngines(t *testing.T) {
	f := front.NewInFlight(func() {})
	f.Add("plain", plank.AdapterRef{}, 1)
	f.Add("engine", plank.AdapterRef{Base: "m", Name: "a1"}, 1)
	f.Add("engine", plank.AdapterRef{Base: "m"}, 1)
	assert.Equal(t, len(f.Messages(true)), 2)
	plain := f.Messages(false)
	assert.Equal(t, len(plain), 1)
	assert.Equal(t, plain[0].Endpoint, "plain")
	assert.Equal(t, plain[0].Calls, uint32(1))
}
