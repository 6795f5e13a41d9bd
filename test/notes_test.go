package test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/stand/objapi"
	"knapweedplank.org/plank/internal/store"
	"knapweedplank.org/plank/pkg/notes"
)

// A noteAttempt is an operator's attempt to change one adapter by a note.
type noteAttempt struct {
	id      plank.NoteID
	adapter plank.AdapterID
	base    plank.NoteNumber
}

// A noteResult is the result that the operator receives.
type noteResult struct {
	number   plank.NoteNumber // 0 if the note was not accepted
	conflict bool
	unknown  bool
}

// A chainState is the state of the chain in the model.
type chainState struct {
	head    plank.NoteNumber
	changed string // number of the last change by adapter, see withNumber
	known   string // numbers by note id, see withNumber
}

// chainModel returns the model of the chain: a note receives the next number unless
// its adapter changed after its base, and a repeated note receives its former number.
func chainModel(first plank.NoteNumber) porcupine.Model {
	m := porcupine.NondeterministicModel{
		Init: func() []any { return []any{chainState{head: first}} },
		Step: func(state, input, output any) []any {
			s, in, out := state.(chainState), input.(noteAttempt), output.(noteResult)
			accepted := chainState{
				head:    s.head + 1,
				changed: withNumber(s.changed, string(in.adapter), s.head+1),
				known:   withNumber(s.known, string(in.id), s.head+1),
			}
			have, known := numberOf(s.known, string(in.id))
			last, _ := numberOf(s.changed, string(in.adapter))
			allowed := last <= in.base
			switch {
			case out.unknown && (known || !allowed):
				return []any{s}
			case out.unknown:
				return []any{s, accepted}
			case known:
				if out.number == have {
					return []any{s}
				}
				return nil
			case out.conflict && !allowed:
				return []any{s}
			case out.number == accepted.head && allowed:
				return []any{accepted}
			}
			return nil
		},
		Equal: func(a, b any) bool { return a == b },
	}
	return m.ToModel()
}

// withNumber returns m with the number of a key set. The map is encoded as a string
// so that states are comparable.
func withNumber(m, key string, n plank.NoteNumber) string {
	var parts []string
	for _, p := range strings.Fields(m) {
		if !strings.HasPrefix(p, key+"=") {
			parts = append(parts, p)
		}
	}
	parts = append(parts, fmt.Sprintf("%s=%d", key, n))
	return strings.Join(parts, " ")
}

// numberOf returns the number of a key in a map encoded by withNumber.
func numberOf(m, key string) (plank.NoteNumber, bool) {
	for _, p := range strings.Fields(m) {
		if value, ok := strings.CutPrefix(p, key+"="); ok {
			var n plank.NoteNumber
			_, _ = fmt.Sscan(value, &n)
			return n, true
		}
	}
	return 0, false
}

// TestConcurrentOperators has operators change the same few adapters concurrently while
// the platform loses answers and a daemon restarts. The results that they receive are
// linearizable as one chain, and no daemon's note number falls while it is ready.
func TestConcurrentOperators(t *testing.T) {
	t.Parallel()
	const seed, operators, attempts = 3, 4, 12
	f := newFleet(t, smallFleet())
	stop := make(chan struct{})
	var watcher sync.WaitGroup
	watcher.Go(func() { f.checkNumbersNeverFall(stop) })
	var mu sync.Mutex
	var history []porcupine.Operation
	began := time.Now()
	var race sync.WaitGroup
	for op := range operators {
		rng := rand.New(rand.NewPCG(seed, uint64(op)))
		race.Go(func() {
			for i := range attempts {
				o := f.attemptNote(rng, op, i, began)
				mu.Lock()
				history = append(history, o)
				mu.Unlock()
			}
		})
	}
	for range 6 {
		f.platformFaults(objapi.Faults{LoseAnswers: 2})
		time.Sleep(150 * time.Millisecond)
	}
	f.daemons[1].proc.kill()
	race.Wait()
	f.platformFaults(objapi.Faults{})
	f.daemons[1].start()
	eventually(t, 20*time.Second, "all notes are in force", f.inForce)
	close(stop)
	watcher.Wait()
	assert.Equal(t, porcupine.CheckOperationsTimeout(chainModel(1), history, time.Minute), porcupine.Ok)
	counts := map[string]int{}
	for _, o := range history {
		out := o.Output.(noteResult)
		counts[fmt.Sprintf("conflict=%t unknown=%t", out.conflict, out.unknown)]++
	}
	t.Logf("seed %d: %v", seed, counts)
}

// attemptNote makes one operator's attempt and returns it as an operation of the
// history.
func (f *fleet) attemptNote(rng *rand.Rand, op, i int, began time.Time) porcupine.Operation {
	s := store.New(f.platformAddr, nil)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	chain := notes.NewChain(s)
	base := plank.NoteNumber(0)
	if chain.Refresh(ctx) == nil {
		base = chain.Catalog().Number
	}
	in := noteAttempt{id: plank.NoteID(fmt.Sprintf("op%d-%d", op, i)), adapter: plank.AdapterID(fmt.Sprintf("race-%d", rng.IntN(3))), base: base}
	time.Sleep(time.Duration(rng.IntN(30)) * time.Millisecond)
	n := &notes.Note{Id: in.id, Base: base, Comment: fmt.Sprint(op)}
	n.Adapters.Set = []notes.Adapter{{Id: in.adapter, Version: "1", Base: "base", Source: string(in.id)}}
	o := porcupine.Operation{ClientId: op, Input: in, Call: time.Since(began).Nanoseconds()}
	number, err := chain.Append(ctx, n, plank.WriteToken(in.id))
	var changed *notes.ChangedError
	out := noteResult{number: number, conflict: errors.As(err, &changed)}
	out.unknown = err != nil && !out.conflict
	o.Output, o.Return = out, time.Since(began).Nanoseconds()
	return o
}

// checkNumbersNeverFall polls until stop is closed and fails the test if the note
// number of a ready daemon falls.
func (f *fleet) checkNumbersNeverFall(stop chan struct{}) {
	highest := make(map[plank.VMID]plank.NoteNumber)
	for {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		for _, v := range f.daemons {
			st, ok := v.status()
			if !ok || !st.Ready {
				continue
			}
			if st.Applied < highest[st.VM] {
				f.t.Errorf("note number of %s fell from %d to %d while ready", st.VM, highest[st.VM], st.Applied)
			}
			highest[st.VM] = max(highest[st.VM], st.Applied)
		}
	}
}

// TestNoteInForceWithinSeconds applies notes by the command line while one daemon
// cannot reach the platform. They are in force on every daemon within six seconds,
// "note status" names the daemon that cannot report, and conflicting notes are refused.
func TestNoteInForceWithinSeconds(t *testing.T) {
	t.Parallel()
	f := newFleet(t, smallFleet())
	f.daemons[1].platformProxy.Cut()
	dir := t.TempDir()
	path := filepath.Join(dir, "note.json")
	writeFile(t, path, `{"Id": "cli", "Adapters": {"Set": [{"Id": "new", "Version": "2", "Base": "base"}]}}`)
	run := func(args ...string) (string, int) {
		cmd := exec.Command(filepath.Join(binDir, "knapweedplank"), append([]string{"note"}, args...)...)
		cmd.Env = append(cmd.Environ(), "KNAPWEEDPLANK_PLATFORM="+f.platformAddr)
		out, _ := cmd.CombinedOutput()
		return string(out), cmd.ProcessState.ExitCode()
	}
	out, code := run("apply", "--latest", path)
	assert.Equal(t, code, 0, out)
	accepted := time.Now()
	for _, v := range f.daemons {
		eventually(t, 6*time.Second-time.Since(accepted), "in force on "+v.name, func() bool {
			st, ok := v.status()
			return ok && st.Applied == 2
		})
	}
	// The status names a daemon that cannot report instead of assuming success.
	out, code = run("status", "cli")
	assert.Equal(t, code, 4, out)
	assert.Assert(t, strings.Contains(out, f.daemons[1].name), out)
	f.daemons[1].platformProxy.Heal()
	out, code = run("apply", "--latest", "--wait", path)
	assert.Equal(t, code, 0, out)
	assert.Assert(t, strings.Contains(out, "number 2"), out)
	writeFile(t, path, `{"Id": "cli", "Adapters": {"Withdraw": ["new@2"]}}`)
	out, code = run("apply", "--latest", path)
	assert.Equal(t, code, 3, out)
	writeFile(t, path, `{"Id": "late", "Base": 1, "Adapters": {"Withdraw": ["new@2"]}}`)
	out, code = run("apply", path)
	assert.Equal(t, code, 3, out)
	assert.Assert(t, strings.Contains(out, `"cli"`), out)
}

// TestNewVMDuringPlatformOutage starts a VM while the platform is unavailable. It
// receives the notes from its peers and serves requests with borrowed tokens, without
// a share and without engines of its own.
func TestNewVMDuringPlatformOutage(t *testing.T) {
	t.Parallel()
	f := newFleet(t, smallFleet())
	f.platformFaults(objapi.Faults{Away: true})
	isolated := f.newVM("vm-lonely", "a")
	for _, v := range f.daemons {
		v.peerProxy.CutClient(isolated.ip)
	}
	isolated.start()
	time.Sleep(2 * time.Second)
	st, ok := isolated.status()
	assert.Assert(t, ok && !st.Ready, "a VM without any notes must not be ready")
	r := isolated.streamCompletion(context.Background(), keyOne, "ad-1@1", "x", 2)
	assert.Equal(t, r.code, plank.CodeNotReady)
	assert.Equal(t, r.ran, plank.NotRun)
	for _, v := range f.daemons {
		v.peerProxy.HealClient(isolated.ip)
	}
	eventually(t, 15*time.Second, "new VM serves with borrowed tokens", func() bool {
		return isolated.streamCompletion(context.Background(), keyOne, "ad-1@1", "x", 2).complete
	})
	assert.Equal(t, f.ownedBy(isolated.name), 0)
}

// TestPartitionedDomainKeepsServing cuts a domain off from the others and from the
// platform for longer than any lease. Both sides keep serving, and the newest note
// comes into force on both afterwards.
func TestPartitionedDomainKeepsServing(t *testing.T) {
	t.Parallel()
	s := smallFleet()
	s.daemons = 2
	f := newFleet(t, s)
	f.partition("b")
	time.Sleep(12 * time.Second)
	for _, v := range f.daemons {
		for i := range 4 {
			r := v.streamCompletion(context.Background(), keyOne, fmt.Sprintf("ad-%d@1", i), "cut off", 10)
			assert.Assert(t, r.complete, "%s: %+v", v.name, r)
		}
	}
	// The partitioned domain still loads adapters that are not resident.
	r := f.daemons[2].streamCompletion(context.Background(), keyOne, "ad-33@1", "cold", 5)
	assert.Assert(t, r.complete, "%+v", r)
	n := &notes.Note{}
	n.Keys.Withdraw = []string{"key-two"}
	f.apply(n)
	eventually(t, 6*time.Second, "key withdrawn outside the partitioned domain", func() bool {
		return f.daemons[0].streamCompletion(context.Background(), keyTwo, "ad-1@1", "x", 2).status == 401
	})
	assert.Assert(t, !f.inForce(), "the note must not be in force while a domain is partitioned")
	f.heal("b")
	healed := time.Now()
	eventually(t, 6*time.Second, "key withdrawn after the partition", func() bool {
		return f.daemons[2].streamCompletion(context.Background(), keyTwo, "ad-1@1", "x", 2).status == 401
	})
	t.Logf("key withdrawn %v after the partition healed", time.Since(healed))
	eventually(t, 15*time.Second, "in force everywhere", f.inForce)
	f.checkBackends()
}

// TestRestartedVMKeepsNoteNumber restarts a daemon that cannot reach the platform. It
// becomes ready only with the notes that its peers have.
func TestRestartedVMKeepsNoteNumber(t *testing.T) {
	t.Parallel()
	f := newFleet(t, smallFleet())
	n := &notes.Note{}
	n.Keys.Withdraw = []string{"key-two"}
	f.apply(n)
	eventually(t, 6*time.Second, "in force", f.inForce)
	v := f.daemons[0]
	v.platformProxy.Cut()
	v.proc.signal(syscall.SIGKILL)
	v.start()
	eventually(t, 15*time.Second, "ready again", func() bool { st, ok := v.status(); return ok && st.Ready })
	st, _ := v.status()
	assert.Equal(t, st.Applied, plank.NoteNumber(2))
	assert.Equal(t, v.streamCompletion(context.Background(), keyTwo, "ad-1@1", "x", 2).status, 401)
}
