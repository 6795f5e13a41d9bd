package front

import (
	"math"
	"time"

	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/grant"
	"knapweedplank.org/plank/internal/pace"
	"knapweedplank.org/plank/internal/pick"
	"knapweedplank.org/plank/internal/wire"
)

// This file passes what answers show of the pace of engines to their holders.

// A PaceReport is what an answer shows of the pace of its engine.
type PaceReport struct {
	// Stated is the pace that the engine states; 0 for none.
	Stated float64
	// Step is the time of a decoding step; 0 for none.
	Step time.Duration
}

// note returns the wire message of a report.
func (r PaceReport) note() *wire.ReserveNote {
	n := &wire.ReserveNote{StepMicros: r.Step.Microseconds()}
	if pace.IsValid(r.Stated) {
		n.PacePercent = uint32(math.Round(100 * r.Stated))
	}
	return n
}

// ReportPace implements Reservation. The stated pace is known here by the answer itself.
func (l localReservation) ReportPace(r PaceReport) { recordStep(l.paces, l.Instance, r.Step) }

// ReportPace implements Reservation. A stated pace is sent with the first event.
func (r *remoteReservation) ReportPace(report PaceReport) {
	r.stated = report.Stated
	if report.Step > 0 {
		r.sendNote(report.note())
	}
}

// recordNotedPace records what a peer's note tells of the pace of an engine.
func (b *Broker) recordNotedPace(res *grant.Reservation, n *wire.ReserveNote) {
	inst := res.Instance
	b.Paces.RecordStated(inst.Service, inst.Run(), float64(n.PacePercent)/100)
	recordStep(b.Paces, inst, time.Duration(n.StepMicros)*time.Microsecond)
}

// recordStep records the time of a decoding step that a stream showed, which may have been
// beside prompts.
func recordStep(paces *pace.Table, inst plank.Instance, step time.Duration) {
	if step > 0 {
		paces.RecordAnswer(inst.Service, inst.Run(), step, pick.DecodeStep, pace.AtMost)
	}
}

// The pauses of a stream from which the time of a step is taken.
const (
	// minPauses is the number of pauses from which a stream shows the time of a step.
	minPauses = 12
	// shortPauses is how many of the shortest pauses are kept. The longest of them is used:
	// events that were held up on their way follow one another too closely.
	shortPauses = 4
)

// A stepMeter measures the time of an event when its engine reads no prompts.
type stepMeter struct {
	lastAt   time.Time
	count    int
	shortest [shortPauses]time.Duration // ascending
}

// record records an event that arrived at now.
func (m *stepMeter) record(now time.Time) {
	if !m.lastAt.IsZero() {
		d := now.Sub(m.lastAt)
		for i := range m.shortest {
			if i >= m.count || d < m.shortest[i] {
				d, m.shortest[i] = m.shortest[i], d
			}
		}
		m.count++
	}
	m.lastAt = now
}

// step returns the time of a decoding step, by the tokens of an event; 0 if not known.
func (m *stepMeter) step(eventTokens plank.Tokens) time.Duration {
	if m.count < minPauses || eventTokens <= 0 {
		return 0
	}
	return time.Duration(float64(m.shortest[shortPauses-1]) / float64(eventTokens))
}

// strictestGap returns the shortest of the longest pauses that routes of a service allow; 0 if
// none has one. The streams of a route with a longer one then count as if they had it, too,
// where this VM does not hold the engine.
func strictestGap(m *plank.Manifest, service plank.ServiceID) time.Duration {
	var gap time.Duration
	if m == nil {
		return 0
	}
	for i := range m.Routes {
		r := &m.Routes[i]
		if r.MaxGap <= 0 || gap > 0 && r.MaxGap >= gap {
			continue
		}
		for _, share := range r.Split {
			if share.Service == service {
				gap = r.MaxGap
			}
		}
	}
	return gap
}
