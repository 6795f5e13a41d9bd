// Package limit enforces each workspace's rate and burst over all VMs together
// without coordination at admission time.
//
// ShareLimiter divides every workspace's token bucket into shares, one for each
// VM. The shares of all VMs never add up to more than the whole, so neither do
// the tokens that they admit. Shares move by loans, which the lender deducts
// before the borrower adds them.
//
// GossipLimiter instead has each VM report what it admitted to the others.
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
// rate*T + burst tokens. Each request counts at its admission time, with its cost
// less refunds.
type Bucket struct {
	rate  plank.TokensPerSecond // of the whole workspace
	burst plank.Tokens          // of the whole workspace
	// ownShare is the VM's own share, including what is lent.
	ownShare plank.PPM
	// borrowed and lent are the loans that have not ended: borrowed ones are added
	// to ownShare, lent ones are deducted.
	borrowed, lent []loan
	// level is the tokens available, at most the effective share of burst.
	level   plank.Tokens
	updated time.Time // time for which level is computed
	// peaks holds the times at which the level came nearest to its cap, with the
	// headroom then: a refund of tokens taken before may not exceed the least
	// headroom since. Marks and headrooms both increase.
	peaks []peak
	// mark numbers the headrooms recorded; lastDropped is the newest that was
	// removed from peaks to bound its length.
	mark, lastDropped Mark
}

// A Mark is a point in the sequence of a bucket's changes, for refunds.
type Mark uint64

type loan struct {
	share plank.PPM
	until time.Time
}

type peak struct {
	mark     Mark
	headroom plank.Tokens
}

// maxPeaks bounds Bucket.peaks.
const maxPeaks = 1024

// NewBucket returns a bucket without a share and without tokens.
func NewBucket(now time.Time) *Bucket { return &Bucket{updated: now} }

// SetLimit changes the workspace's limit. Tokens above the new cap are lost.
func (b *Bucket) SetLimit(now time.Time, rate plank.TokensPerSecond, burst plank.Tokens) {
	b.advance(now)
	b.rate, b.burst = rate, burst
	b.clampLevel()
}

// SetShare changes the VM's own share. A larger share adds no tokens at once.
func (b *Bucket) SetShare(now time.Time, share plank.PPM) {
	b.advance(now)
	b.ownShare = share
	b.clampLevel()
}

// Share returns the effective share: the VM's own plus borrowed less lent.
func (b *Bucket) Share(now time.Time) plank.PPM {
	b.advance(now)
	return b.share()
}

func (b *Bucket) share() plank.PPM {
	share := b.ownShare
	for _, l := range b.borrowed {
		share += l.share
	}
	for _, l := range b.lent {
		share -= l.share
	}
	return max(0, share)
}

func (b *Bucket) maxLevel() plank.Tokens {
	return plank.Tokens(b.share().Of(float64(b.burst)))
}

// advance refills the bucket up to now. It proceeds from the end of one loan to
// the next, because each changes the rate and the cap.
func (b *Bucket) advance(now time.Time) {
	for b.updated.Before(now) {
		step := now
		for _, l := range b.borrowed {
			if l.until.Before(step) {
				step = l.until
			}
		}
		for _, l := range b.lent {
			if l.until.Before(step) {
				step = l.until
			}
		}
		if step.After(b.updated) {
			seconds := step.Sub(b.updated).Seconds()
			b.level += plank.Tokens(b.share().Of(float64(b.rate)) * seconds)
			b.updated = step
			b.clampLevel()
		}
		ended := func(l loan) bool { return !l.until.After(step) }
		b.borrowed = slices.DeleteFunc(b.borrowed, ended)
		b.lent = slices.DeleteFunc(b.lent, ended)
		b.clampLevel()
	}
}

// clampLevel limits the level to the cap and records the headroom.
func (b *Bucket) clampLevel() {
	limit := b.maxLevel()
	b.level = min(b.level, limit)
	b.recordHeadroom(limit - b.level)
}

// recordHeadroom adds a headroom to peaks and removes earlier ones that are not
// smaller, since they do not limit any refund more.
func (b *Bucket) recordHeadroom(headroom plank.Tokens) {
	for n := len(b.peaks); n > 0 && b.peaks[n-1].headroom >= headroom; n-- {
		b.peaks = b.peaks[:n-1]
	}
	b.mark++
	b.peaks = append(b.peaks, peak{mark: b.mark, headroom: headroom})
	if len(b.peaks) > maxPeaks {
		half := len(b.peaks) / 2
		b.lastDropped = b.peaks[half-1].mark
		b.peaks = slices.Delete(b.peaks, 0, half)
	}
}

// Take admits a request of the given cost and reports whether it did. The mark
// is to be passed to Refund.
func (b *Bucket) Take(now time.Time, cost plank.Tokens) (Mark, bool) {
	b.advance(now)
	if cost > b.level {
		return 0, false
	}
	b.level -= cost
	return b.mark, true
}

// Refund returns up to amount of the tokens that were taken at the mark. It adds
// only what the bucket would still hold if they had not been taken: otherwise
// tokens that were refilled since would count twice. If the mark is too old to
// know that, it adds none.
func (b *Bucket) Refund(now time.Time, taken Mark, amount plank.Tokens) {
	b.advance(now)
	b.clampLevel()
	if taken < b.lastDropped {
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
	b.clampLevel()
}

// Level returns the available tokens.
func (b *Bucket) Level(now time.Time) plank.Tokens {
	b.advance(now)
	return b.level
}

// Wait returns the time in which the tokens missing for the cost are refilled at
// the workspace's whole rate. At the VM's share of it, it takes longer.
func (b *Bucket) Wait(now time.Time, cost plank.Tokens) time.Duration {
	b.advance(now)
	missing := max(0, float64(cost-b.level))
	return time.Duration(missing / float64(b.rate) * float64(time.Second))
}

// A Loan is a share that one VM lends to another, with the tokens in it.
type Loan struct {
	Share  plank.PPM
	Tokens plank.Tokens
}

// The terms of loans.
const (
	// LoanDuration is how long a borrower may use a loan, counted from its request.
	LoanDuration = 3 * time.Second
	// loanMargin is how much longer the lender keeps the loan deducted, to allow
	// for clocks that run at different speeds.
	loanMargin = 300 * time.Millisecond
)

// Lend deducts a loan of up to need tokens and returns it. The share lent is
// just large enough to hold the tokens. The loan is empty if no token is
// available, or the share is lent already.
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
	b.lent = append(b.lent, loan{share: share, until: now.Add(LoanDuration + loanMargin)})
	b.level -= tokens
	b.clampLevel()
	return Loan{Share: share, Tokens: tokens}
}

// Releasable returns the part of the VM's own share that is not lent. Only this
// part may be lent or released: a borrowed share ends too early to be lent.
func (b *Bucket) Releasable(now time.Time) plank.PPM {
	b.advance(now)
	share := b.ownShare
	for _, l := range b.lent {
		share -= l.share
	}
	return max(0, share)
}

// Borrow adds a loan that this VM requested at the time requested. A loan that
// arrives after LoanDuration is ignored.
func (b *Bucket) Borrow(now, requested time.Time, l Loan) {
	b.advance(now)
	until := requested.Add(LoanDuration)
	if !now.Before(until) {
		return
	}
	b.borrowed = append(b.borrowed, loan{share: l.Share, until: until})
	b.level = min(b.level+l.Tokens, b.maxLevel())
	b.clampLevel()
}
