// Package limit defines how a workspace's rate and burst are held over all VMs
// together without agreement at admission time.
//
// Each VM holds a share of every workspace's token bucket. The shares of all
// VMs never add up to more than the whole, so neither do the tokens that they
// admit. Shares move by loans that the lender deducts first.
package limit

import (
	"cmp"
	"slices"
	"time"

	"knapweedplank.org/plank"
)

// A Bucket is one VM's share of one workspace's token bucket. It performs no
// I/O and is not safe for concurrent use.
//
// In any interval of T seconds the buckets of all VMs together admit at most
// Rate*T + Burst tokens, counted at admission with what was used in the end.
type Bucket struct {
	rate  plank.TokensPerSecond // of the whole workspace
	burst plank.Tokens          // of the whole workspace
	// base is the VM's own share. Lent shares are part of base but not in force.
	base plank.PPM
	// loans in force, by deadline; in are added to base, out are deducted.
	in, out []loan
	// level is at most the share in force of burst.
	level plank.Tokens
	at    time.Time // of level
	// peaks holds the moments at which a later refund could overflow the cap,
	// with the headroom then. Marks and headrooms both rise.
	peaks []peak
	// mark counts the moments noted; dropped is the last one forgotten.
	mark, dropped Mark
}

// A Mark is a moment in a bucket's life.
type Mark uint64

type loan struct {
	share plank.PPM
	until time.Time
}

type peak struct {
	mark     Mark
	headroom plank.Tokens
}

// maxPeaks bounds the memory for refunds.
const maxPeaks = 1024

// NewBucket returns a bucket without a share and without tokens.
func NewBucket(now time.Time) *Bucket { return &Bucket{at: now} }

// SetLimit changes the workspace's limit. Tokens above the new cap are lost.
func (b *Bucket) SetLimit(now time.Time, rate plank.TokensPerSecond, burst plank.Tokens) {
	b.advance(now)
	b.rate, b.burst = rate, burst
	b.clip()
}

// SetShare changes the VM's own share. A share that grows brings no tokens.
func (b *Bucket) SetShare(now time.Time, share plank.PPM) {
	b.advance(now)
	b.base = share
	b.clip()
}

// Share returns the share in force.
func (b *Bucket) Share(now time.Time) plank.PPM {
	b.advance(now)
	return b.share()
}

func (b *Bucket) share() plank.PPM {
	share := b.base
	for _, l := range b.in {
		share += l.share
	}
	for _, l := range b.out {
		share -= l.share
	}
	return max(0, share)
}

func (b *Bucket) maxLevel() plank.Tokens {
	return plank.Tokens(b.share().Of(float64(b.burst)))
}

// advance brings the bucket to now, loan deadline by loan deadline, because
// each deadline changes the rate and the cap.
func (b *Bucket) advance(now time.Time) {
	for b.at.Before(now) {
		step := now
		for _, l := range b.in {
			if l.until.Before(step) {
				step = l.until
			}
		}
		for _, l := range b.out {
			if l.until.Before(step) {
				step = l.until
			}
		}
		if step.After(b.at) {
			seconds := step.Sub(b.at).Seconds()
			b.level += plank.Tokens(b.share().Of(float64(b.rate)) * seconds)
			b.at = step
			b.clip()
		}
		ended := func(l loan) bool { return !l.until.After(step) }
		b.in = slices.DeleteFunc(b.in, ended)
		b.out = slices.DeleteFunc(b.out, ended)
		b.clip()
	}
}

// clip cuts the level to the cap and notes the headroom that is left.
func (b *Bucket) clip() {
	limit := b.maxLevel()
	b.level = min(b.level, limit)
	b.note(limit - b.level)
}

// note records a headroom and drops the records that it makes needless.
func (b *Bucket) note(headroom plank.Tokens) {
	for n := len(b.peaks); n > 0 && b.peaks[n-1].headroom >= headroom; n-- {
		b.peaks = b.peaks[:n-1]
	}
	b.mark++
	b.peaks = append(b.peaks, peak{mark: b.mark, headroom: headroom})
	if len(b.peaks) > maxPeaks {
		half := len(b.peaks) / 2
		b.dropped = b.peaks[half-1].mark
		b.peaks = slices.Delete(b.peaks, 0, half)
	}
}

// Take admits a request of the given cost, or reports false. The mark is for
// the refund.
func (b *Bucket) Take(now time.Time, cost plank.Tokens) (Mark, bool) {
	b.advance(now)
	if cost > b.level {
		return 0, false
	}
	b.level -= cost
	return b.mark, true
}

// Refund gives back a part of what was taken at the mark. Only what the bucket
// would have kept, had it not been taken, comes back: otherwise tokens that
// were refilled meanwhile would count twice.
func (b *Bucket) Refund(now time.Time, taken Mark, amount plank.Tokens) {
	b.advance(now)
	b.clip()
	if taken < b.dropped {
		return
	}
	first, _ := slices.BinarySearchFunc(b.peaks, taken+1, func(p peak, m Mark) int { return cmp.Compare(p.mark, m) })
	amount = max(0, min(amount, b.peaks[first].headroom))
	for i := first; i < len(b.peaks); i++ {
		b.peaks[i].headroom -= amount
	}
	b.level += amount
}

// Fill fills the bucket to its cap.
func (b *Bucket) Fill(now time.Time) {
	b.advance(now)
	b.level = b.maxLevel()
	b.clip()
}

// Level returns the tokens at hand.
func (b *Bucket) Level(now time.Time) plank.Tokens {
	b.advance(now)
	return b.level
}

// Wait returns the least time in which the missing tokens are refilled over all
// VMs together.
func (b *Bucket) Wait(now time.Time, cost plank.Tokens) time.Duration {
	b.advance(now)
	missing := max(0, float64(cost-b.level))
	return time.Duration(missing / float64(b.rate) * float64(time.Second))
}

// A Loan is a share on its way from lender to borrower, with tokens in it.
type Loan struct {
	Share  plank.PPM
	Tokens plank.Tokens
}

// The terms of loans.
const (
	// LoanDuration is how long a borrower may use a loan, from when it asked.
	LoanDuration = 3 * time.Second
	// loanMargin is how much longer the lender goes without, for clocks that
	// run at different speeds.
	loanMargin = 300 * time.Millisecond
)

// Lend deducts a loan of up to need tokens and returns it. The share lent is
// just large enough to hold the tokens.
func (b *Bucket) Lend(now time.Time, need plank.Tokens) Loan {
	b.advance(now)
	tokens := min(need, b.level)
	if tokens < 1 || b.burst <= 0 {
		return Loan{}
	}
	// Rounded up, because the share must hold the tokens.
	share := plank.PPM(float64(tokens)/float64(b.burst)*float64(plank.WholePPM)) + 1
	if share > b.Releasable(now) {
		return Loan{}
	}
	b.out = append(b.out, loan{share: share, until: now.Add(LoanDuration + loanMargin)})
	b.level -= tokens
	b.clip()
	return Loan{Share: share, Tokens: tokens}
}

// Releasable returns the part of the VM's own share that is not lent out. Only
// this part may be lent or given up: a borrowed share ends too early to be lent.
func (b *Bucket) Releasable(now time.Time) plank.PPM {
	b.advance(now)
	share := b.base
	for _, l := range b.out {
		share -= l.share
	}
	return max(0, share)
}

// Borrow adds a loan that was asked for at the time asked. A loan that came too
// late is void.
func (b *Bucket) Borrow(now, asked time.Time, l Loan) {
	b.advance(now)
	until := asked.Add(LoanDuration)
	if !now.Before(until) {
		return
	}
	b.in = append(b.in, loan{share: l.Share, until: until})
	b.level = min(b.level+l.Tokens, b.maxLevel())
	b.clip()
}
