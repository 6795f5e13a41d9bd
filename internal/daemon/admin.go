package daemon

import (
	"encoding/json"
	"net/http"
	"net/http/pprof"
	"time"

	"github.com/rcrowley/go-metrics"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/ctrl"
)

// This file defines the operators' HTTP API.

// A Status is the body of GET /status.
type Status struct {
	VM            plank.VMID
	Domain        plank.DomainID
	Ready         bool
	Applied       plank.NoteNumber
	Joined        bool
	LeaseUntil    time.Time
	Peers         []PeerStatus
	Engines       []EngineStatus
	Spares        map[plank.WorkspaceID]plank.Tokens
	PlatformCalls uint64
}

// A PeerStatus describes a reachable VM.
type PeerStatus struct {
	VM      plank.VMID
	Domain  plank.DomainID
	Applied plank.NoteNumber
}

// An EngineStatus describes an engine whose owner is this VM or a reachable one.
type EngineStatus struct {
	Endpoint    plank.EndpointID
	Owner       plank.VMID
	Term        plank.Term
	Up          bool
	Leaving     bool
	Outstanding int
	Resident    int // number of resident adapters
}

func (d *Daemon) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !d.control.Snapshot().Ready {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
		}
	})
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		metrics.WriteJSONOnce(d.metrics, w)
	})
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(d.status(d.control.Snapshot()))
	})
	return mux
}

func (d *Daemon) status(s *ctrl.Snapshot) Status {
	st := Status{
		VM: d.cfg.VM, Domain: d.cfg.Domain, Ready: s.Ready, Applied: s.Catalog.Number, Joined: s.Joined,
		LeaseUntil: d.leaseValidUntil(), Spares: d.limiter.Spares(), PlatformCalls: d.store.Calls(),
	}
	for _, p := range s.Peers {
		st.Peers = append(st.Peers, PeerStatus{VM: p.VM, Domain: p.Domain, Applied: p.Applied})
	}
	for _, e := range s.Engines {
		st.Engines = append(st.Engines, EngineStatus{
			Endpoint: e.Endpoint.Id, Owner: e.Owner, Term: e.State.Term, Up: e.State.Up, Leaving: e.State.Leaving,
			Outstanding: e.State.Outstanding, Resident: len(e.State.Resident),
		})
	}
	return st
}
