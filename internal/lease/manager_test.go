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

// A fakeHost is the host of a VM without running requests and without a watch.
type fakeHost struct {
	mu   sync.Mutex
	view lease.View
}

var _ lease.Host = (*fakeHost)(nil)

// DesiredState implements lease.Host.
func (h *fakeHost) DesiredState() lease.DesiredState {
	return lease.DesiredState{Share: 900_000, Endpoints: []plank.EndpointID{"e1"}}
}

// ReleaseShare implements lease.Host.
func (h *fakeHost) ReleaseShare(amount plank.PPM) plank.PPM { return amount }

// DrainEndpoint implements lease.Host.
func (h *fakeHost) DrainEndpoint(plank.EndpointID) bool { return true }

// Record implements lease.Host.
func (h *fakeHost) Record() (claim.Record, plank.ObjectVersion, bool) {
	return claim.Record{}, 0, false
}

// SetView implements lease.Host.
func (h *fakeHost) SetView(v lease.View) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.view = v
}

func (h *fakeHost) currentView() lease.View {
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

func discardLogger() *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return logrus.NewEntry(log)
}

// putDeadVM stores record and lease of a VM that sends no heartbeats and renews
// nothing.
func putDeadVM(t *testing.T, s plank.Store, memberBoot, leaseBoot plank.BootID, members ...plank.VMID) {
	t.Helper()
	put(t, s, claim.Key("d"), claim.Record{
		Domain: "d", Share: 900_000,
		Members: []claim.Member{{VM: "vm-dead", Boot: memberBoot, Address: "x", Share: 900_000}},
		Claims:  []claim.Claim{{Endpoint: "e1", VM: "vm-dead", Term: 7}},
	})
	put(t, s, lease.Key("d", "vm-dead"), lease.Lease{VM: "vm-dead", Boot: leaseBoot, Domain: "d", State: lease.StateLive, Members: members})
}

func startManager(t *testing.T, s plank.Store) (*lease.Manager, *fakeHost) {
	t.Helper()
	h := &fakeHost{}
	mgr := lease.New(lease.Identity{VM: "vm-new", Boot: "n", Domain: "d", Address: "y"}, s, member.New("vm-new"), plank.SystemClock{}, h, discardLogger())
	t.Cleanup(mgr.Close)
	return mgr, h
}

// TestTakeover checks that a VM takes over share and endpoint of a dead VM whose
// lease names it, also if that VM crashed between the two writes of a restart: not
// before RetiredAckTTL and Grace have passed since its own start, and with a higher
// term.
func TestTakeover(t *testing.T) {
	for name, leaseBoot := range map[string]plank.BootID{"same run": "1", "interrupted restart": "2"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := memory.New()
			putDeadVM(t, s, "1", leaseBoot, "vm-new")
			began := time.Now()
			_, h := startManager(t, s)
			for len(h.currentView().Claims) == 0 {
				assert.Assert(t, time.Since(began) < 30*time.Second, "no takeover after 30 s")
				time.Sleep(10 * time.Millisecond)
			}
			assert.Assert(t, time.Since(began) > lease.RetiredAckTTL+lease.Grace, "taken over after %v", time.Since(began))
			assert.Equal(t, h.currentView().Share, plank.PPM(900_000))
			assert.Equal(t, h.currentView().Claims[0].Term, plank.Term(8))
		})
	}
}

// TestNoTakeoverByUnnamedVM checks that a VM that a lease does not name does not
// fence the lease: the holder does not require its acknowledgements.
func TestNoTakeoverByUnnamedVM(t *testing.T) {
	t.Parallel()
	s := memory.New()
	putDeadVM(t, s, "1", "1", "vm-other")
	_, h := startManager(t, s)
	time.Sleep(lease.RetiredAckTTL + lease.Grace + 3*lease.RenewInterval)
	assert.Assert(t, h.currentView().Joined)
	assert.Equal(t, h.currentView().Share, plank.PPM(0))
	assert.Equal(t, len(h.currentView().Claims), 0)
}

// TestLeaseSurvivesLostResponses loses two responses of the store in five: the VM
// joins nevertheless and its lease is valid.
func TestLeaseSurvivesLostResponses(t *testing.T) {
	t.Parallel()
	s := memory.New()
	rng := rand.New(rand.NewPCG(5, 5))
	s.Fault = func() memory.Fault {
		if rng.IntN(5) < 2 {
			return memory.LostResponse
		}
		return memory.NoFault
	}
	mgr, h := startManager(t, s)
	for end := time.Now().Add(30 * time.Second); h.currentView().Share != 900_000; {
		assert.Assert(t, time.Now().Before(end), "did not join and acquire the share within 30 s")
		time.Sleep(10 * time.Millisecond)
	}
	assert.Assert(t, mgr.ValidUntil().After(time.Now()))
}
