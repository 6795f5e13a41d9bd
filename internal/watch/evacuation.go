package watch

import (
	"bytes"
	"encoding/json"
	"strings"
	"sync"

	"github.com/sirupsen/logrus"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/evac"
	"knapweedplank.org/plank/internal/view"
)

// maxLoggedValue is the largest part of an unexpected value that is logged, in bytes.
const maxLoggedValue = 200

// An EvacuationSink publishes which failure domains are out of service: those with an object below
// Prefix, whatever its value is.
type EvacuationSink struct {
	Prefix string
	View   *view.Publisher
	Clock  plank.Clock
	Log    *logrus.Entry

	mu      sync.Mutex
	domains evac.Domains
}

var _ Sink = (*EvacuationSink)(nil)

// Apply implements Sink. Changes of one batch take effect together: an entry that was written anew
// at once does not return the domain to service in between.
func (s *EvacuationSink) Apply(b Batch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, before := s.Clock.Now(), s.domains
	inForce := make(map[plank.DomainID]bool) // by the last change of each domain
	revisions := make(map[plank.DomainID]plank.Revision)
	for _, c := range b.Changes {
		d := plank.DomainID(strings.TrimPrefix(c.Object.Key, s.Prefix))
		if d == "" {
			continue
		}
		inForce[d], revisions[d] = c.Object.Version > 0, c.Revision
		if c.Object.Version > 0 && b.Source == SourceStore {
			s.checkValue(c.Object)
		}
	}
	for d, on := range inForce {
		s.domains = s.domains.With(d, on, now)
		if before.IsOut(d) == on {
			continue
		}
		log := s.Log.WithFields(logrus.Fields{"domain": d, "revision": revisions[d], "source": b.Source, "endpoints": s.countEndpoints(d)})
		if on {
			log.Warn("watch: failure domain out of service")
		} else {
			log.Warn("watch: failure domain back in service")
		}
	}
	s.View.SetEvacuated(s.domains)
}

// IsSignificant implements Sink.
func (s *EvacuationSink) IsSignificant(plank.Change) bool { return true }

// checkValue logs a value that is not an empty object. Peers send entries without their values.
func (s *EvacuationSink) checkValue(o plank.Object) {
	var members map[string]json.RawMessage
	if json.Unmarshal(o.Value, &members) == nil && members != nil && len(members) == 0 {
		return
	}
	value := bytes.ToValidUTF8(o.Value[:min(len(o.Value), maxLoggedValue)], []byte("?"))
	s.Log.WithFields(logrus.Fields{"key": o.Key, "value": string(value), "bytes": len(o.Value)}).Warn("watch: unexpected value of an evacuation, it is in force")
}

// countEndpoints returns the number of registered endpoints of a failure domain.
func (s *EvacuationSink) countEndpoints(d plank.DomainID) (n int) {
	for _, inst := range s.View.Load().Instances {
		if inst.Domain == d {
			n++
		}
	}
	return n
}
