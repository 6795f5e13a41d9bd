// Package dev runs a daemon together with a simulated platform, engines and services
// in one process, for development and tests.
package dev

import (
	"fmt"

	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/keys"
	"knapweedplank.org/plank/pkg/notes"
)

// The names in the sample release note. SampleKey is the caller's API key.
const (
	SampleKey       = "kp-dev-brightline"
	SampleWorkspace = "brightline"
	sampleDomain    = "dev-a"
	sampleBase      = "base-7b"
)

// Sample returns the release note that Start stores first. engines and bookings are
// the addresses of the simulated engines and of the bookings service.
func Sample(engines []string, bookings string) *notes.Note {
	n := &notes.Note{Id: "dev-sample", Comment: "sample of knapweedplank dev"}
	n.Domains.Set = []notes.Domain{{Id: sampleDomain, Share: plank.WholePPM}}
	n.Workspaces.Set = []notes.Workspace{{Id: SampleWorkspace, Rate: 2000, Burst: 20_000}}
	n.Patience.Set = []notes.Patience{{
		Workspace: SampleWorkspace, Zone: "America/Vancouver",
		Hours: []notes.PatienceLevel{{From: 0, Seconds: 60}, {From: 8, Seconds: 20}, {From: 20, Seconds: 60}},
	}}
	n.Keys.Set = []notes.Key{{Id: "dev-key", Hash: keys.Hash(SampleKey), Workspace: SampleWorkspace}}
	for i := range 20 {
		n.Adapters.Set = append(n.Adapters.Set, notes.Adapter{Id: plank.AdapterID(fmt.Sprintf("quotes-%d", i)), Version: "1", Base: sampleBase, Workspace: SampleWorkspace})
	}
	for i, addr := range engines {
		n.Endpoints.Set = append(n.Endpoints.Set, notes.Endpoint{
			Id: plank.EndpointID(fmt.Sprintf("engine-%d", i)), Kind: notes.KindEngine, Address: addr, Domain: sampleDomain,
			Base: sampleBase, Slots: 8, Batch: 8, Fencing: true,
		})
	}
	n.Endpoints.Set = append(n.Endpoints.Set, notes.Endpoint{Id: "bookings-0", Kind: notes.KindService, Address: bookings, Domain: sampleDomain, Service: "bookings"})
	n.Routes.Set = []notes.Route{{Path: "/bookings/", Service: "bookings", Once: []string{"POST"}, Cost: 1}}
	return n
}
