package limit

import (
	"context"
	"fmt"
	"sync"
	"time"

	"knapweedplank.org/plank"
)

// A Lender borrows tokens from other VMs.
type Lender interface {
	// Lenders returns the VMs that reported spare tokens for the workspace, the
	// most first.
	Lenders(ws plank.WorkspaceID) []plank.VMID
	// Borrow requests a loan of up to tokens from vm. The loan is empty if the VM
	// has no spare tokens.
	Borrow(ctx context.Context, vm plank.VMID, ws plank.WorkspaceID, tokens plank.Tokens) (Loan, error)
}

// Options holds the settings of a ShareLimiter.
type Options struct {
	// Static turns lending off. Experiments use it as the baseline.
	Static bool
	// ValidUntil returns the end of the VM's right to use its own share. If nil,
	// the right does not expire.
	ValidUntil func() time.Time
}

// A ShareLimiter limits all workspaces by the VM's shares of their token
// buckets. It is safe for concurrent use.
type ShareLimiter struct {
	clock  plank.Clock
	lender Lender
	opts   Options

	mu      sync.Mutex
	buckets map[plank.WorkspaceID]*Bucket
	share   plank.PPM
	// effectiveShare is share, or 0 after ValidUntil.
	effectiveShare plank.PPM
}

// NewShareLimiter returns a limiter without limits and with a share of 0.
func NewShareLimiter(clock plank.Clock, lender Lender, opts Options) *ShareLimiter {
	return &ShareLimiter{clock: clock, lender: lender, opts: opts, buckets: make(map[plank.WorkspaceID]*Bucket)}
}

// A Limit is the rate and burst of one workspace over all VMs together.
type Limit struct {
	Rate  plank.TokensPerSecond
	Burst plank.Tokens
}

// SetLimits replaces the limits of all workspaces.
func (s *ShareLimiter) SetLimits(limits map[plank.WorkspaceID]Limit) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	for ws := range s.buckets {
		if _, ok := limits[ws]; !ok {
			delete(s.buckets, ws)
		}
	}
	for ws, l := range limits {
		bucket := s.buckets[ws]
		if bucket == nil {
			bucket = NewBucket(now)
			bucket.SetShare(now, s.effectiveShare)
			s.buckets[ws] = bucket
		}
		bucket.SetLimit(now, l.Rate, l.Burst)
	}
}

// SetShare changes the VM's own share of all workspaces.
func (s *ShareLimiter) SetShare(share plank.PPM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.share = share
	s.refreshShare()
}

// refreshShare sets the effective share to 0 once ValidUntil has passed. It runs
// before each use, so that a process that was paused beyond its lease does not
// use a share that other VMs may hold by then. It returns the current time. The
// lock is held.
func (s *ShareLimiter) refreshShare() time.Time {
	now := s.clock.Now()
	want := s.share
	if s.opts.ValidUntil != nil && !now.Before(s.opts.ValidUntil()) {
		want = 0
	}
	if want != s.effectiveShare {
		s.effectiveShare = want
		for _, bucket := range s.buckets {
			bucket.SetShare(now, want)
		}
	}
	return now
}

// ReleaseShare lowers the VM's own share by up to amount, limited to the part
// that is not lent in any workspace, and returns the reduction.
func (s *ShareLimiter) ReleaseShare(amount plank.PPM) plank.PPM {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.refreshShare()
	amount = min(amount, s.effectiveShare)
	for _, bucket := range s.buckets {
		amount = min(amount, bucket.Releasable(now))
	}
	s.share -= amount
	s.refreshShare()
	return amount
}

// Fill fills the bucket of a workspace to its cap. This can exceed the limit, so
// it is only for limits that need not be exact.
func (s *ShareLimiter) Fill(ws plank.WorkspaceID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.refreshShare()
	if bucket := s.buckets[ws]; bucket != nil {
		bucket.Fill(now)
	}
}

// An Admission is the admitted cost of a request.
type Admission struct {
	Workspace plank.WorkspaceID
	Cost      plank.Tokens
	bucket    *Bucket
	mark      Mark
}

// The bounds on borrowing and waiting during admission.
const (
	// borrowTimeout bounds a request to one lender.
	borrowTimeout = 250 * time.Millisecond
	// maxWait bounds the wait for the VM's own bucket to refill.
	maxWait = 2 * time.Second
	// waitDivisor sets the part of the time left to the deadline that may be
	// spent on waiting for tokens: 1/waitDivisor of it.
	waitDivisor = 4
	// maxLenders is how many VMs receive a borrow request in one round.
	maxLenders = 8
	// minRoundPause and maxRoundPause bound the time between two rounds of borrowing.
	minRoundPause = 20 * time.Millisecond
	maxRoundPause = 200 * time.Millisecond
)

// Acquire admits a cost. If the bucket lacks tokens, it borrows from other VMs
// and waits for the refill as long as the deadline allows. If the cost is not
// admitted, it returns a *plank.RefusalError.
func (s *ShareLimiter) Acquire(ctx context.Context, ws plank.WorkspaceID, cost plank.Tokens, deadline time.Time) (*Admission, error) {
	waitUntil := s.clock.Now().Add(min(maxWait, deadline.Sub(s.clock.Now())/waitDivisor))
	for {
		a, wait, err := s.tryTake(ws, cost)
		if a != nil || err != nil {
			return a, err
		}
		if !s.opts.Static && s.borrow(ctx, ws, cost) {
			continue
		}
		now := s.clock.Now()
		if s.opts.Static || now.Add(wait).After(waitUntil) {
			return nil, &plank.RefusalError{
				Code: plank.CodeRateLimited, Ran: plank.NotRun, RetryAfter: wait,
				Detail: fmt.Sprintf("workspace %s has used its rate; the request costs %.0f tokens", ws, cost),
			}
		}
		select {
		case <-time.After(max(minRoundPause, min(wait, maxRoundPause))):
		case <-ctx.Done():
			return nil, plank.Refuse(plank.CodeDeadlineExceeded, "caller left while the request waited for its rate")
		}
	}
}

// tryTake takes the cost from the VM's own bucket, or returns the time until it
// could be refilled.
func (s *ShareLimiter) tryTake(ws plank.WorkspaceID, cost plank.Tokens) (*Admission, time.Duration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	bucket := s.buckets[ws]
	if bucket == nil {
		return nil, 0, plank.Refuse(plank.CodeNotAllowed, "workspace %s does not exist", ws)
	}
	if cost > bucket.burst {
		return nil, 0, plank.Refuse(plank.CodeRateLimited, "the request costs %.0f tokens, more than the burst %.0f of workspace %s", cost, bucket.burst, ws)
	}
	now := s.refreshShare()
	if mark, ok := bucket.Take(now, cost); ok {
		return &Admission{Workspace: ws, Cost: cost, bucket: bucket, mark: mark}, 0, nil
	}
	return nil, bucket.Wait(now, cost), nil
}

// borrow requests loans from lenders until the bucket holds the cost. It reports
// whether it does.
func (s *ShareLimiter) borrow(ctx context.Context, ws plank.WorkspaceID, cost plank.Tokens) bool {
	for i, vm := range s.lender.Lenders(ws) {
		missing := s.missing(ws, cost)
		if missing <= 0 {
			return true
		}
		if i == maxLenders {
			break
		}
		requested := s.clock.Now()
		borrowCtx, cancel := context.WithTimeout(ctx, borrowTimeout)
		loan, err := s.lender.Borrow(borrowCtx, vm, ws, missing)
		cancel()
		if err != nil || loan.Share <= 0 {
			continue
		}
		s.mu.Lock()
		if bucket := s.buckets[ws]; bucket != nil {
			bucket.Borrow(s.clock.Now(), requested, loan)
		}
		s.mu.Unlock()
	}
	return s.missing(ws, cost) <= 0
}

// missing returns how many tokens the bucket lacks for the cost.
func (s *ShareLimiter) missing(ws plank.WorkspaceID, cost plank.Tokens) plank.Tokens {
	s.mu.Lock()
	defer s.mu.Unlock()
	bucket := s.buckets[ws]
	if bucket == nil {
		return 0
	}
	return cost - bucket.Level(s.clock.Now())
}

// Refund returns the unused tokens of an admission to the bucket.
func (s *ShareLimiter) Refund(a *Admission, unused plank.Tokens) {
	if unused <= 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	a.bucket.Refund(s.clock.Now(), a.mark, min(unused, a.Cost))
}

// Lend deducts a loan of up to need tokens from the bucket and returns it, for
// another VM. The loan is empty if it cannot be made.
func (s *ShareLimiter) Lend(ws plank.WorkspaceID, need plank.Tokens) Loan {
	s.mu.Lock()
	defer s.mu.Unlock()
	bucket := s.buckets[ws]
	if bucket == nil || s.opts.Static {
		return Loan{}
	}
	return bucket.Lend(s.refreshShare(), need)
}

// Spares returns the available tokens of each workspace that has at least one.
func (s *ShareLimiter) Spares() map[plank.WorkspaceID]plank.Tokens {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.refreshShare()
	spares := make(map[plank.WorkspaceID]plank.Tokens, len(s.buckets))
	for ws, bucket := range s.buckets {
		if level := bucket.Level(now); level >= 1 {
			spares[ws] = level
		}
	}
	return spares
}
