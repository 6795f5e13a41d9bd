// Package bench runs load experiments: it starts a fleet of daemons and simulated
// systems in one process, sends open-loop load to it, and computes the results.
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

// An Experiment is a load on a fleet of a given size, run with each of several policy
// sets. The field names are those of the file format, JSON with comments.
type Experiment struct {
	// Extends is the path, relative to this file's directory, of a file whose values
	// apply to fields that are not set here.
	Extends string
	Name    string
	Seed    uint64
	// WarmupSec is the duration in seconds of the load that is sent before the
	// measurement, and MeasureSec that of the measurement.
	WarmupSec  float64
	MeasureSec float64
	Fleet      Fleet
	Load       Load
	Faults     []Fault
	// Policies are the policy sets to compare; the first is the baseline.
	Policies []PolicySet
}

// A PolicySet is a named set of policies.
type PolicySet struct {
	Name string
	config.Policies
}

// A Fleet describes the deployment.
type Fleet struct {
	Domains    []string
	VMs        int // total, assigned to the domains in rotation, like Engines and Services
	Engines    int
	Services   int
	Slots      int     // adapter slots per engine
	Batch      int     // maximum number of requests in an engine's batch
	StepMs     float64 // duration of a decoding step
	LoadMs     int     // duration of an adapter load at full speed
	FullSpeed  int     // maximum number of concurrent loads at full speed
	LoadsPerS  float64 // sustained rate of the weight store in loads per second
	NetDelayMs int     // delay of each direction between failure domains
}

// A Load describes the callers' requests.
type Load struct {
	PerSecond  float64 // mean number of requests per second of all workspaces
	Adapters   int
	Zipf       float64 // exponent of the adapters' popularity, above 1
	ShiftAtSec float64 // time after the warm-up at which popularity moves to other adapters; 0 means never
	// Skew is the ratio of the first VM's requests to those of each other VM; values
	// below 1 mean 1.
	Skew       float64
	Bookings   float64 // fraction of requests that are bookings
	Workspaces []Workspace
	// LongShare is the fraction of requests with a prompt of LongPrompt bytes and a
	// mean answer of about LongTokens tokens; for the others, ShortPrompt and
	// ShortTokens apply.
	LongShare   float64
	LongPrompt  int
	LongTokens  int
	ShortPrompt int
	ShortTokens int
}

// A Workspace is a tenant of the experiment.
type Workspace struct {
	Id          string
	Share       float64 // weight of its share of the requests
	Rate        float64 // tokens per second over all VMs
	Burst       float64 // tokens
	PatienceSec float64 // time that callers wait for the whole answer
	// From SurgeAtSec to SurgeEndSec after the warm-up, the workspace sends Surge times
	// as many requests.
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

// A Fault is injected once.
type Fault struct {
	AtSec  float64 // time after the warm-up
	Kind   string
	Target int    // index of the VM or engine
	Domain string // for FaultCutDomain and FaultHealDomain
}

// ReadExperiment reads an experiment file and those it extends, and sets missing
// policies to their defaults.
func ReadExperiment(path string) (Experiment, error) {
	var e Experiment
	if err := mergeFile(&e, path); err != nil {
		return e, err
	}
	for i := range e.Policies {
		e.Policies[i].Policies = withDefaults(e.Policies[i].Policies)
	}
	return e, nil
}

// mergeFile sets the fields of e that occur in a file or in those it extends.
func mergeFile(e *Experiment, path string) error {
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
		if err := mergeFile(e, filepath.Join(filepath.Dir(path), head.Extends)); err != nil {
			return err
		}
		// The list of policies replaces that of the extended file; decoding into the
		// existing list would merge their elements.
		if bytes.Contains(plain, []byte(`"Policies"`)) {
			e.Policies = nil
		}
	}
	dec := json.NewDecoder(bytes.NewReader(plain))
	dec.DisallowUnknownFields()
	return eris.Wrapf(dec.Decode(e), "read experiment %s", path)
}

// withDefaults returns p with empty policy names replaced by the defaults.
func withDefaults(p config.Policies) config.Policies {
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
