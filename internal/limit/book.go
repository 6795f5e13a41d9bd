package limit

import (
	"context"
	"fmt"
	"sync"
	"time"

	"knapweedplank.org/plank"
)

// A Lender reaches the VMs that may lend.
type Lender interface {
	// Lenders returns the VMs that told of spare tokens, the richest first.
	Lenders(ws plank.WorkspaceID) []plank.VMID
	// Borrow asks one of them. The loan is empty when it has none to spare.
	Borrow(ctx context.Context, vm plank.VMID, ws plank.WorkspaceID, tokens plank.Tokens) (Loan, error)
}

// An Options holds what varies between deployments and experiments.
type Options struct {
	// Static turns lending off; it is the baseline.
	Static bool
	// ValidUntil returns until when the VM may use its own share. A nil ValidUntil never
	// ends.
	ValidUntil func() time.Time
}

// A ShareLimiter holds a VM's buckets of all workspaces. It is safe for concurrent use.
type ShareLimiter struct {
	clock  plank.Clock
	lender Lender
	opts   Options

	mu      sync.Mutex
	buckets map[plank.WorkspaceID]*Bucket
	share   plank.PPM
	// inForce is share, or 0 once the lease has ended.
	inForce plank.PPM
}

// NewShareLimiter returns a book without shares.
func NewShareLimiter(clock plank.Clock, lender Lender, opts Options) *ShareLimiter {
	return &ShareLimiter{clock: clock, lender: lender, opts: opts, buckets: make(map[plank.WorkspaceID]*Bucket)}
}

// A Limit is the bound of one workspace over all VMs together.
type Limit struct {
	Rate  plank.TokensPerSecond
	Burst plank.Tokens
}

// SetLimits replaces the limits of all workspaces.
func (b *ShareLimiter) SetLimits(limits map[plank.WorkspaceID]Limit) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	for ws := range b.buckets {
		if _, ok := limits[ws]; !ok {
			delete(b.buckets, ws)
		}
	}
	for ws, l := range limits {
		bucket := b.buckets[ws]
		if bucket == nil {
			bucket = NewBucket(now)
			bucket.SetShare(now, b.inForce)
			b.buckets[ws] = bucket
		}
		bucket.SetLimit(now, l.Rate, l.Burst)
	}
}

// SetShare changes the VM's own share of all workspaces.
func (b *ShareLimiter) SetShare(share plank.PPM) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.share = share
	b.check()
}

// check brings the share in force in line with the lease. It runs before each
// use, so that a process that was paused beyond its lease does not go on with
// what others may hold by then. The lock is held.
func (b *ShareLimiter) check() time.Time {
	now := b.clock.Now()
	want := b.share
	if b.opts.ValidUntil != nil && !now.Before(b.opts.ValidUntil()) {
		want = 0
	}
	if want != b.inForce {
		b.inForce = want
		for _, bucket := range b.buckets {
			bucket.SetShare(now, want)
		}
	}
	return now
}

// ReleaseShare lowers the VM's own share by up to amount, as far as no workspace
// has lent it out, and returns by how much.
func (b *ShareLimiter) ReleaseShare(amount plank.PPM) plank.PPM {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.check()
	amount = min(amount, b.inForce)
	for _, bucket := range b.buckets {
		amount = min(amount, bucket.Releasable(now))
	}
	b.share -= amount
	b.check()
	return amount
}

// Fill fills the bucket of a workspace. It is for limits that are not promised
// to anyone.
func (b *ShareLimiter) Fill(ws plank.WorkspaceID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.check()
	if bucket := b.buckets[ws]; bucket != nil {
		bucket.Fill(now)
	}
}

// A Admission is an admitted cost.
type Admission struct {
	Workspace plank.WorkspaceID
	Cost      plank.Tokens
	bucket    *Bucket
	mark      Mark
}

// The patience of admission.
const (
	// askTime bounds the wait for one lender.
	askTime = 250 * time.Millisecond
	// maxWait bounds the wait for the refill of the own bucket.
	maxWait = 2 * time.Second
	// waitPart is the part of the caller's remaining patience that may be
	// spent on waiting for tokens.
	waitPart = 4
	// maxLenders bounds the VMs that are asked in one round.
	maxLenders = 8
	// pause and maxPause bound the time between two rounds.
	pause    = 20 * time.Millisecond
	maxPause = 200 * time.Millisecond
)

// Acquire admits a cost, asking other VMs for tokens and waiting for the
// refill as far as the deadline allows. It returns a *plank.RefusalError when
// the workspace's rate is used up.
func (b *ShareLimiter) Acquire(ctx context.Context, ws plank.WorkspaceID, cost plank.Tokens, deadline time.Time) (*Admission, error) {
	giveUp := b.clock.Now().Add(min(maxWait, deadline.Sub(b.clock.Now())/waitPart))
	for {
		g, wait, err := b.try(ws, cost)
		if g != nil || err != nil {
			return g, err
		}
		if !b.opts.Static && b.borrow(ctx, ws, cost) {
			continue
		}
		now := b.clock.Now()
		if b.opts.Static || now.Add(wait).After(giveUp) {
			return nil, &plank.RefusalError{
				Code: plank.CodeRateLimited, Ran: plank.NotRun, RetryAfter: wait,
				Detail: fmt.Sprintf("workspace %s has used its rate; the request costs %.0f tokens", ws, cost),
			}
		}
		select {
		case <-time.After(max(pause, min(wait, maxPause))):
		case <-ctx.Done():
			return nil, plank.Refuse(plank.CodeDeadlineExceeded, "caller left while the request waited for its rate")
		}
	}
}

// try takes the cost from the own bucket, or returns the wait for it.
func (b *ShareLimiter) try(ws plank.WorkspaceID, cost plank.Tokens) (*Admission, time.Duration, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	bucket := b.buckets[ws]
	if bucket == nil {
		return nil, 0, plank.Refuse(plank.CodeNotAllowed, "workspace %s does not exist", ws)
	}
	if cost > bucket.burst {
		return nil, 0, plank.Refuse(plank.CodeRateLimited, "the request costs %.0f tokens, more than the burst %.0f of workspace %s", cost, bucket.burst, ws)
	}
	now := b.check()
	if mark, ok := bucket.Take(now, cost); ok {
		return &Admission{Workspace: ws, Cost: cost, bucket: bucket, mark: mark}, 0, nil
	}
	return nil, bucket.Wait(now, cost), nil
}

// borrow asks lenders until the bucket holds the cost. It reports whether it
// does.
func (b *ShareLimiter) borrow(ctx context.Context, ws plank.WorkspaceID, cost plank.Tokens) bool {
	for i, vm := range b.lender.Lenders(ws) {
		missing := b.missing(ws, cost)
		if missing <= 0 {
			return true
		}
		if i == maxLenders {
			break
		}
		asked := b.clock.Now()
		ask, cancel := context.WithTimeout(ctx, askTime)
		loan, err := b.lender.Borrow(ask, vm, ws, missing)
		cancel()
		if err != nil || loan.Share <= 0 {
			continue
		}
		b.mu.Lock()
		if bucket := b.buckets[ws]; bucket != nil {
			bucket.Borrow(b.clock.Now(), asked, loan)
		}
		b.mu.Unlock()
	}
	return b.missing(ws, cost) <= 0
}

// missing returns how many tokens the bucket lacks for the cost.
func (b *ShareLimiter) missing(ws plank.WorkspaceID, cost plank.Tokens) plank.Tokens {
	b.mu.Lock()
	defer b.mu.Unlock()
	bucket := b.buckets[ws]
	if bucket == nil {
		return 0
	}
	return cost - bucket.Level(b.clock.Now())
}

// Refund gives back the part of the grant that was not used.
func (b *ShareLimiter) Refund(g *Admission, unused plank.Tokens) {
	if unused <= 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	g.bucket.Refund(b.clock.Now(), g.mark, min(unused, g.Cost))
}

// Lend deducts and returns a loan for another VM.
func (b *ShareLimiter) Lend(ws plank.WorkspaceID, need plank.Tokens) Loan {
	b.mu.Lock()
	defer b.mu.Unlock()
	bucket := b.buckets[ws]
	if bucket == nil || b.opts.Static {
		return Loan{}
	}
	return bucket.Lend(b.check(), need)
}

// Spares returns the tokens at hand by workspace.
func (b *ShareLimiter) Spares() map[plank.WorkspaceID]plank.Tokens {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.check()
	spares := make(map[plank.WorkspaceID]plank.Tokens, len(b.buckets))
	for ws, bucket := range b.buckets {
		if level := bucket.Level(now); level >= 1 {
			spares[ws] = level
		}
	}
	return spares
}
