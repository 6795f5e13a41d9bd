package limit_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/limit"
	"pgregory.net/rapid"
)

// An admission is an admitted request, with the tokens it used after refunds.
type admission struct {
	at   time.Time
	used plank.Tokens
}

// TestBucketsTogetherKeepLimit applies random requests, refunds, and loans that are
// lost or late to the buckets of several VMs, and checks every interval between two
// admissions against rate*T + burst.
func TestBucketsTogetherKeepLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const rate, burst = 100, 400
		start := time.Unix(1000, 0)
		now := start
		n := rapid.IntRange(1, 4).Draw(t, "vms")
		buckets := make([]*limit.Bucket, n)
		for i := range buckets {
			buckets[i] = limit.NewBucket(now)
			buckets[i].SetLimit(now, rate, burst)
			buckets[i].SetShare(now, plank.WholePPM/plank.PPM(n))
		}
		var admitted []admission
		type open struct {
			vm, index int
			mark      limit.Mark
			cost      plank.Tokens
		}
		type inFlight struct {
			vm        int
			requested time.Time
			loan      limit.Loan
		}
		var inTransit []inFlight
		var opens []open
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			// Mostly short pauses, so that whole bursts are used within one
			// interval, and some longer than loans last.
			pauses := []int{0, 0, 1, 20, 300, 2900, 3100, 3400, 5000}
			now = now.Add(time.Duration(rapid.SampledFrom(pauses).Draw(t, "ms")) * time.Millisecond)
			vm := rapid.IntRange(0, n-1).Draw(t, "vm")
			switch rapid.IntRange(0, 5).Draw(t, "op") {
			case 0, 1:
				cost := plank.Tokens(rapid.IntRange(1, 300).Draw(t, "cost"))
				if mark, ok := buckets[vm].Take(now, cost); ok {
					opens = append(opens, open{vm, len(admitted), mark, cost})
					admitted = append(admitted, admission{now, cost})
				}
			case 4:
				for _, b := range buckets {
					all := b.Level(now)
					if _, ok := b.Take(now, all); ok {
						admitted = append(admitted, admission{now, all})
					}
				}
			case 2:
				if len(opens) == 0 {
					continue
				}
				i := rapid.IntRange(0, len(opens)-1).Draw(t, "open")
				o := opens[i]
				opens = append(opens[:i], opens[i+1:]...)
				unused := plank.Tokens(rapid.IntRange(0, int(o.cost)).Draw(t, "unused"))
				buckets[o.vm].Refund(now, o.mark, unused)
				admitted[o.index].used -= unused
			case 3:
				lender := rapid.IntRange(0, n-1).Draw(t, "lender")
				if lender == vm {
					continue
				}
				loan := buckets[lender].Lend(now, plank.Tokens(rapid.IntRange(1, 400).Draw(t, "want")))
				if loan.Share > 0 {
					inTransit = append(inTransit, inFlight{vm, now, loan})
				}
			case 5:
				if len(inTransit) == 0 {
					continue
				}
				// Loans arrive in any order, late, or not at all.
				i := rapid.IntRange(0, len(inTransit)-1).Draw(t, "loan")
				l := inTransit[i]
				inTransit = append(inTransit[:i], inTransit[i+1:]...)
				buckets[l.vm].Borrow(now, l.requested, l.loan)
			}
		}
		checkBound(t, admitted, rate, burst)
	})
}

// checkBound fails if any interval admits more than rate*T + burst.
func checkBound(t *rapid.T, admitted []admission, rate, burst float64) {
	for i := range admitted {
		sum := 0.0
		for j := i; j < len(admitted); j++ {
			sum += float64(admitted[j].used)
			bound := rate*admitted[j].at.Sub(admitted[i].at).Seconds() + burst
			if sum > bound+1e-6 {
				t.Fatalf("%.3f tokens admitted from %v to %v, bound %.3f", sum, admitted[i].at, admitted[j].at, bound)
			}
		}
	}
}

func TestBucketStartsEmpty(t *testing.T) {
	now := time.Unix(1000, 0)
	b := limit.NewBucket(now)
	b.SetLimit(now, 100, 400)
	b.SetShare(now, plank.WholePPM)
	_, ok := b.Take(now, 1)
	assert.Assert(t, !ok)
	_, ok = b.Take(now.Add(time.Second), 100)
	assert.Assert(t, ok)
}

func TestRefundOfFullBucketIsComplete(t *testing.T) {
	now := time.Unix(1000, 0)
	b := limit.NewBucket(now)
	b.SetLimit(now, 100, 400)
	b.SetShare(now, plank.WholePPM)
	now = now.Add(10 * time.Second)
	mark, ok := b.Take(now, 300)
	assert.Assert(t, ok)
	b.Refund(now, mark, 250)
	assert.Equal(t, b.Level(now), plank.Tokens(350))
}
