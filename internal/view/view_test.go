package view_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/view"
)

// That an endpoint leaves is not undone by its registration, and does not hold for another run.
func TestLeavingOutlastsRegistrations(t *testing.T) {
	inst := plank.Instance{ID: "e", Service: "s", Born: time.UnixMilli(1)}
	other := inst
	other.Born = time.UnixMilli(2)
	p := view.New(nil)
	leaving := func(instances ...plank.Instance) bool {
		all := make(map[plank.EndpointID]plank.Instance)
		for _, i := range instances {
			all[i.ID] = i
		}
		p.SetInstances(all)
		endpoints := p.Load().Endpoints("s")
		return len(endpoints) == 1 && endpoints[0].Leaving && p.Load().Instances["e"].Leaving
	}
	assert.Assert(t, !leaving(inst))
	assert.Assert(t, p.MarkLeaving(inst.Run()))
	assert.Assert(t, p.Load().Endpoints("s")[0].Leaving)
	assert.Assert(t, !p.MarkLeaving(inst.Run()), "it is known")
	assert.Assert(t, leaving(inst), "an older registration")
	assert.Assert(t, !leaving(), "no registration")
	assert.Assert(t, leaving(inst), "the registration is back")
	assert.Assert(t, !leaving(other), "another run has the id")
}
