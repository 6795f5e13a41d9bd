package lease_test

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/claim"
	"knapweedplank.org/plank/internal/lease"
	"knapweedplank.org/plank/internal/member"
	"knapweedplank.org/plank/internal/store/memory"
)

// A host is a VM without endpoints or a watch.
type host struct {
	mu   sync.Mutex
	view lease.View
}

var _ lease.Host = (*host)(nil)

// DesiredState implements lease.Host.
func (h *host) DesiredState() lease.DesiredState {
	return lease.DesiredState{Share: 900_000, Endpoints: []plank.EndpointID{"e1"}}
}

// ReleaseShare implements lease.Host.
func (h *host) ReleaseShare(amount plank.PPM) plank.PPM { return amount }

// DrainEndpoint implements lease.Host.
func (h *host) DrainEndpoint(plank.EndpointID) bool { return true }

// Record implements lease.Host.
func (h *host) Record() (claim.Record, plank.ObjectVersion, bool) { return claim.Record{}, 0, false }

// SetView implements lease.Host.
func (h *host) SetView(v lease.View) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.view = v
}

func (h *host) seen() lease.View {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.view
}

func put(t *testing.T, s plank.Store, key string, v any) {
	t.Helper()
	value, err := json.Marshal(v)
	assert.NilError(t, err)
	o, err := s.Get(context.Background(), key)
	assert.NilError(t, err)
	_, err = s.Put(context.Background(), key, value, o.Version)
	assert.NilError(t, err)
}

func quiet() *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return logrus.NewEntry(log)
}

// dead puts a VM into the store that will never be heard.
func dead(t *testing.T, s plank.Store, memberBoot, leaseBoot plank.BootID, consents ...plank.VMID) {
	t.Helper()
	put(t, s, claim.Key("d"), claim.Record{
		Domain: "d", Share: 900_000,
		Members: []claim.Member{{VM: "vm-dead", Boot: memberBoot, Address: "x", Share: 900_000}},
		Claims:  []claim.Claim{{Endpoint: "e1", VM: "vm-dead", Term: 7}},
	})
	put(t, s, lease.Key("d", "vm-dead"), lease.Lease{VM: "vm-dead", Boot: leaseBoot, Domain: "d", State: lease.StateLive, Members: consents})
}

func start(t *testing.T, s plank.Store) (*lease.Manager, *host) {
	t.Helper()
	h := &host{}
	k := lease.New(lease.Identity{VM: "vm-new", Boot: "n", Domain: "d", Address: "y"}, s, member.New("vm-new"), plank.SystemClock{}, h, quiet())
	t.Cleanup(k.Close)
	return k, h
}

// TestTakeOver takes over from a VM whose lease names the taker, also if the VM
// died between the two writes of a restart: not before RetireTime and Grace have
// passed since the taker's start, and with a higher term.
func TestTakeOver(t *testing.T) {
	for name, leaseBoot := range map[string]plank.BootID{"same run": "1", "half restarted": "2"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := memory.New()
			dead(t, s, "1", leaseBoot, "vm-new")
			began := time.Now()
			_, h := start(t, s)
			for len(h.seen().Claims) == 0 {
				assert.Assert(t, time.Since(began) < 30*time.Second, "no take-over")
				time.Sleep(10 * time.Millisecond)
			}
			assert.Assert(t, time.Since(began) > lease.RetiredAckTTL+lease.Grace, "taken over after %v", time.Since(began))
			assert.Equal(t, h.seen().Share, plank.PPM(900_000))
			assert.Equal(t, h.seen().Claims[0].Term, plank.Term(8))
		})
	}
}

// TestNoTakeOverByStrangers leaves the share of a VM alone that would not notice
// the taker: its lease does not name it.
func TestNoTakeOverByStrangers(t *testing.T) {
	t.Parallel()
	s := memory.New()
	dead(t, s, "1", "1", "vm-other")
	_, h := start(t, s)
	time.Sleep(lease.RetiredAckTTL + lease.Grace + 3*lease.RenewInterval)
	assert.Assert(t, h.seen().Joined)
	assert.Equal(t, h.seen().Share, plank.PPM(0))
	assert.Equal(t, len(h.seen().Claims), 0)
}

// TestLostAnswersKeepTheLease loses two answers in five: the VM joins and its lease
// holds.
func TestLostAnswersKeepTheLease(t *testing.T) {
	t.Parallel()
	s := memory.New()
	rng := rand.New(rand.NewPCG(5, 5))
	s.Fault = func() memory.Fault {
		if rng.IntN(5) < 2 {
			return memory.LostResponse
		}
		return memory.NoFault
	}
	k, h := start(t, s)
	for end := time.Now().Add(30 * time.Second); h.seen().Share != 900_000; {
		assert.Assert(t, time.Now().Before(end), "did not join")
		time.Sleep(10 * time.Millisecond)
	}
	assert.Assert(t, k.ValidUntil().After(time.Now()))
}
