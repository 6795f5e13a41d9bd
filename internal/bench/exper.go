// Package bench defines the load and experiment tool: a fleet of daemons and
// stand-ins in one process, open-loop load on it, and what is measured.
package bench

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"
	"github.com/tailscale/hujson"
	"knapweedplank.org/plank/internal/config"
)

// An Experiment is one load on one shape of fleet, run with each of several
// sets of policies. Field names are those of the file, JSON with comments.
type Experiment struct {
	// Extends names a file beside this one whose fields hold unless set here.
	Extends string
	Name    string
	Seed    uint64
	// WarmupSec is served and not measured; MeasureSec follows.
	WarmupSec  float64
	MeasureSec float64
	Fleet      Fleet
	Load       Load
	Faults     []Fault
	// Policies are compared; the first is the baseline.
	Policies []PolicySet
}

// A PolicySet is a set of policies with a name.
type PolicySet struct {
	Name string
	config.Policies
}

// A Fleet is the shape of the deployment.
type Fleet struct {
	Domains    []string
	VMs        int // over all domains, spread in turn
	Engines    int // over all domains
	Services   int // over all domains
	Slots      int // adapters per engine
	Batch      int
	StepMs     float64
	LoadMs     int     // one adapter load at full speed
	FullSpeed  int     // loads in flight at full speed
	LoadsPerS  float64 // the weight store's rate
	NetDelayMs int     // one way between failure domains
}

// A Load is the callers' behaviour.
type Load struct {
	PerSecond  float64 // requests a second over all workspaces
	Adapters   int
	Zipf       float64 // skew of popularity, above 1
	ShiftAtSec float64 // when popularity moves to other adapters; 0 is never
	// Skew is how many times more requests the first VM gets than another.
	Skew       float64
	Bookings   float64 // share of requests that are bookings
	Workspaces []Workspace
	// LongShare of the requests have LongPrompt bytes of prompt and LongTokens
	// tokens of answer, the others ShortPrompt and ShortTokens.
	LongShare   float64
	LongPrompt  int
	LongTokens  int
	ShortPrompt int
	ShortTokens int
}

// A Workspace is a tenant of the experiment.
type Workspace struct {
	Id          string
	Share       float64 // of the requests
	Rate        float64 // tokens a second over all VMs
	Burst       float64
	PatienceSec float64 // patience of its callers at this hour
	// From SurgeAtSec to SurgeEndSec the workspace sends Surge times its share.
	Surge       float64
	SurgeAtSec  float64
	SurgeEndSec float64
}

// The kinds of faults.
const (
	FaultKillVM              = "KillVM"
	FaultCutDomain           = "CutDomain"
	FaultHealDomain          = "HealDomain"
	FaultPlatformUnavailable = "PlatformAway"
	FaultPlatformAvailable   = "PlatformBack"
	FaultCrashEngine         = "CrashEngine"
)

// A Fault happens once, some time after the warm-up.
type Fault struct {
	AtSec  float64
	Kind   string
	Target int    // index of the VM or engine
	Domain string // for cuts
}

// ReadExperiment reads an experiment file.
func ReadExperiment(path string) (Experiment, error) {
	var e Experiment
	if err := readInto(&e, path); err != nil {
		return e, err
	}
	for i := range e.Policies {
		e.Policies[i].Policies = fillPolicies(e.Policies[i].Policies)
	}
	return e, nil
}

// readInto sets the fields that a file and those it extends name.
func readInto(e *Experiment, path string) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return eris.Wrap(err, "read experiment")
	}
	plain, err := hujson.Standardize(text)
	if err != nil {
		return eris.Wrapf(err, "read experiment %s", path)
	}
	var head struct{ Extends string }
	if err := json.Unmarshal(plain, &head); err != nil {
		return eris.Wrapf(err, "read experiment %s", path)
	}
	if head.Extends != "" {
		if err := readInto(e, filepath.Join(filepath.Dir(path), head.Extends)); err != nil {
			return err
		}
		// Lists replace those of the extended file instead of merging with them.
		if bytes.Contains(plain, []byte(`"Policies"`)) {
			e.Policies = nil
		}
	}
	dec := json.NewDecoder(bytes.NewReader(plain))
	dec.DisallowUnknownFields()
	return eris.Wrapf(dec.Decode(e), "read experiment %s", path)
}

// fillPolicies replaces empty names by the defaults.
func fillPolicies(p config.Policies) config.Policies {
	d := config.Default().Policies
	fill := func(to *string, value string) {
		if *to == "" {
			*to = value
		}
	}
	fill(&p.Router, d.Router)
	fill(&p.Evictor, d.Evictor)
	fill(&p.Order, d.Order)
	fill(&p.Queue, d.Queue)
	fill(&p.Shares, d.Shares)
	return p
}
