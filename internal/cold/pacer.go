package cold

import (
	"math"
	"time"
)

const (
	// maxLate is how late a request may be sent after it was granted.
	maxLate = 100 * time.Millisecond
	// window is the time in which grants may not exceed the bound, so that the requests of
	// any second do not.
	window = time.Second + maxLate
	// defaultOverage and defaultSlack apply where the settings do not state them.
	defaultOverage = 1.5
	defaultSlack   = 5
)

// A Bound limits the requests to a cold endpoint in any second: its rate times Overage, plus
// Slack.
type Bound struct {
	Overage, Slack float64
}

// orDefault returns the bound, or the default if it is not set.
func (b Bound) orDefault() Bound {
	if b.Overage <= 0 {
		return Bound{defaultOverage, defaultSlack}
	}
	return b
}

// PerSecond returns the number of requests that a cold endpoint tolerates in any second.
func (b Bound) PerSecond(rate float64) int {
	b = b.orDefault()
	return max(1, int(math.Floor(rate*b.Overage+b.Slack)))
}

// perHolder returns the number of grants of one holder in any second.
func (b Bound) perHolder(rate float64) int { return max(1, b.PerSecond(rate)/2) }

// interval returns the time between two grants of one holder. Grants are so far apart that
// two holders, one of which does not know of the other yet, stay within the bound together.
func (b Bound) interval(rate float64) time.Duration {
	least := window/time.Duration(b.perHolder(rate)) + time.Millisecond
	return max(time.Duration(float64(time.Second)/rate), least)
}

// A Pacer paces the grants of a holder for one engine. It addresses a restart of all engines
// of a failure domain under load: the calls that waited, and those that other engines cannot
// take, would otherwise arrive at once and crash the engines again. It is a token bucket with
// a burst of one request that starts empty. It also counts the grants before it was known that
// the engine is cold. It is not safe for concurrent use.
type Pacer struct {
	bound Bound
	// granted holds the times of the latest grants, as many as the bound allows.
	granted []time.Time
	// coldSince is when the engine became known to be cold; zero while it is warm.
	coldSince time.Time
}

// NewPacer returns a pacer without grants.
func NewPacer(b Bound) *Pacer { return &Pacer{bound: b} }

// SetCold records whether the engine is cold. It reports whether this is a change.
func (p *Pacer) SetCold(cold bool, now time.Time) (changed bool) {
	if cold == !p.coldSince.IsZero() {
		return false
	}
	p.coldSince = time.Time{}
	if cold {
		p.coldSince = now
	}
	return true
}

// NextAt returns the earliest time of the next grant; zero if the engine is warm. rate is the
// number of requests per second that the engine tolerates.
func (p *Pacer) NextAt(rate float64) time.Time {
	if p.coldSince.IsZero() {
		return time.Time{}
	}
	interval := p.bound.interval(rate)
	next := p.coldSince.Add(interval)
	if n := len(p.granted); n > 0 {
		next = later(next, p.granted[n-1].Add(interval))
		if most := p.bound.PerSecond(rate); n >= most {
			next = later(next, p.granted[n-most].Add(window))
		}
	}
	return next
}

// WaitAt returns the expected time of a grant behind a number of others.
func (p *Pacer) WaitAt(rate float64, ahead int, now time.Time) time.Time {
	return later(now, p.NextAt(rate)).Add(time.Duration(ahead) * p.bound.interval(rate))
}

// Interval returns the time between two grants for a cold engine.
func (p *Pacer) Interval(rate float64) time.Duration { return p.bound.interval(rate) }

// MaxUnbegun returns the number of grants for a cold engine whose answers need not have begun.
func (p *Pacer) MaxUnbegun(rate float64) int { return p.bound.perHolder(rate) }

// Record records a grant. It must be called for warm engines too.
func (p *Pacer) Record(rate float64, now time.Time) {
	p.granted = append(p.granted, now)
	if excess := len(p.granted) - p.bound.PerSecond(rate); excess > 0 {
		p.granted = append(p.granted[:0], p.granted[excess:]...)
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
