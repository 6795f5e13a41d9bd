package front_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/front"
	"knapweedplank.org/plank/internal/grant"
	"knapweedplank.org/plank/internal/health"
	"knapweedplank.org/plank/internal/pace"
	"knapweedplank.org/plank/internal/wire"
)

// Guards against a holder that knows engines only by its own calls: in a fleet of 67 VMs it
// sends one call of 67.
func TestReserveNotesTellThePace(t *testing.T) {
	for _, test := range []struct {
		name     string
		note     *wire.ReserveNote
		min, max float64
	}{
		{"nothing stated", &wire.ReserveNote{}, 0, 0},
		{"a pace", &wire.ReserveNote{PacePercent: 183}, 1.8, 1.9},
		{"an impossible pace", &wire.ReserveNote{PacePercent: 4_000_000}, 0, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			paces := pace.New(fixedClock{}, false)
			b := &front.Broker{Paces: paces, Chooser: &front.Chooser{Health: health.New(fixedClock{})}}
			inst := plank.Instance{ID: "e", Service: "s", Born: time.UnixMilli(1)}
			front.HandleNote(b, &grant.Reservation{Instance: inst}, test.note)
			p := paces.Pace("s", inst.Run())
			assert.Assert(t, p >= test.min && p <= test.max, "%v", p)
		})
	}
	paces := pace.New(fixedClock{}, true)
	b := &front.Broker{Paces: paces, Chooser: &front.Chooser{Health: health.New(fixedClock{})}}
	inst := plank.Instance{ID: "e", Service: "s", Born: time.UnixMilli(1)}
	front.HandleNote(b, &grant.Reservation{Instance: inst}, &wire.ReserveNote{StepMicros: 3000})
	assert.Assert(t, paces.Pace("s", inst.Run()) < 0.8, "a short step")
}
