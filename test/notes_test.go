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

// A noteInput is an operator's try to change one adapter.
type noteInput struct {
	id      plank.NoteID
	adapter plank.AdapterID
	base    plank.NoteNumber
}

// A noteOutput is what the operator was told.
type noteOutput struct {
	number   plank.NoteNumber // 0 for refused
	conflict bool
	unknown  bool
}

// A noteState is the chain as the model sees it.
type noteState struct {
	head    plank.NoteNumber
	changed string // number of the last change by adapter, encoded
	known   string // numbers by note id, encoded
}

// noteModel is the chain: a note gets the next number unless its item changed
// after its Base, and the same note gets the same number again.
func noteModel(first plank.NoteNumber) porcupine.Model {
	m := porcupine.NondeterministicModel{
		Init: func() []any { return []any{noteState{head: first}} },
		Step: func(state, input, output any) []any {
			s, in, out := state.(noteState), input.(noteInput), output.(noteOutput)
			accepted := noteState{
				head:    s.head + 1,
				changed: put(s.changed, string(in.adapter), s.head+1),
				known:   put(s.known, string(in.id), s.head+1),
			}
			have, known := get(s.known, string(in.id))
			last, _ := get(s.changed, string(in.adapter))
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

// put and get keep a small map in a string, so that states can be compared.
func put(m, key string, n plank.NoteNumber) string {
	var parts []string
	for _, p := range strings.Fields(m) {
		if !strings.HasPrefix(p, key+"=") {
			parts = append(parts, p)
		}
	}
	parts = append(parts, fmt.Sprintf("%s=%d", key, n))
	return strings.Join(parts, " ")
}

func get(m, key string) (plank.NoteNumber, bool) {
	for _, p := range strings.Fields(m) {
		if value, ok := strings.CutPrefix(p, key+"="); ok {
			var n plank.NoteNumber
			_, _ = fmt.Sscan(value, &n)
			return n, true
		}
	}
	return 0, false
}

// TestOperatorsRace lets operators change the same few adapters at once while
// the platform loses answers. The history of what they were told is that of one
// chain, and no daemon ever goes back to a lower number.
func TestOperatorsRace(t *testing.T) {
	t.Parallel()
	const seed, operators, tries = 3, 4, 12
	f := newFleet(t, small())
	stop := make(chan struct{})
	var watcher sync.WaitGroup
	watcher.Go(func() { f.watchNumbers(stop) })
	var mu sync.Mutex
	var history []porcupine.Operation
	began := time.Now()
	var race sync.WaitGroup
	for op := range operators {
		rng := rand.New(rand.NewPCG(seed, uint64(op)))
		race.Go(func() {
			for i := range tries {
				o := f.tryNote(rng, op, i, began)
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
	eventually(t, 20*time.Second, "all notes in force", f.inForce)
	close(stop)
	watcher.Wait()
	assert.Equal(t, porcupine.CheckOperationsTimeout(noteModel(1), history, time.Minute), porcupine.Ok)
	counts := map[string]int{}
	for _, o := range history {
		out := o.Output.(noteOutput)
		counts[fmt.Sprintf("conflict=%t unknown=%t", out.conflict, out.unknown)]++
	}
	t.Logf("seed %d: %v", seed, counts)
}

// tryNote makes one operator's try and returns it as an operation.
func (f *fleet) tryNote(rng *rand.Rand, op, i int, began time.Time) porcupine.Operation {
	s := store.New(f.platform, nil)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	chain := notes.NewChain(s)
	base := plank.NoteNumber(0)
	if chain.Refresh(ctx) == nil {
		base = chain.Catalog().Number
	}
	in := noteInput{id: plank.NoteID(fmt.Sprintf("op%d-%d", op, i)), adapter: plank.AdapterID(fmt.Sprintf("race-%d", rng.IntN(3))), base: base}
	time.Sleep(time.Duration(rng.IntN(30)) * time.Millisecond)
	n := &notes.Note{Id: in.id, Base: base, Comment: fmt.Sprint(op)}
	n.Adapters.Set = []notes.Adapter{{Id: in.adapter, Version: "1", Base: "base", Source: string(in.id)}}
	o := porcupine.Operation{ClientId: op, Input: in, Call: time.Since(began).Nanoseconds()}
	number, err := chain.Append(ctx, n, plank.WriteToken(in.id))
	var changed *notes.ChangedError
	out := noteOutput{number: number, conflict: errors.As(err, &changed)}
	out.unknown = err != nil && !out.conflict
	o.Output, o.Return = out, time.Since(began).Nanoseconds()
	return o
}

// watchNumbers fails the test if a running daemon's number ever falls.
func (f *fleet) watchNumbers(stop chan struct{}) {
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
				f.t.Errorf("%s went from number %d back to %d while ready", st.VM, highest[st.VM], st.Applied)
			}
			highest[st.VM] = max(highest[st.VM], st.Applied)
		}
	}
}

// TestNoteInForceWithinSeconds applies notes by the command line while one
// daemon cannot reach the platform, and reads back whether they are in force.
func TestNoteInForceWithinSeconds(t *testing.T) {
	t.Parallel()
	f := newFleet(t, small())
	f.daemons[1].platform.Cut()
	dir := t.TempDir()
	path := filepath.Join(dir, "note.json")
	writeFile(t, path, `{"Id": "cli", "Adapters": {"Set": [{"Id": "new", "Version": "2", "Base": "base"}]}}`)
	run := func(args ...string) (string, int) {
		cmd := exec.Command(filepath.Join(binaries, "knapweedplank"), append([]string{"note"}, args...)...)
		cmd.Env = append(cmd.Environ(), "KNAPWEEDPLANK_PLATFORM="+f.platform)
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
	// A daemon that cannot report is named, not taken for granted.
	out, code = run("status", "cli")
	assert.Equal(t, code, 4, out)
	assert.Assert(t, strings.Contains(out, f.daemons[1].name), out)
	f.daemons[1].platform.Heal()
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

// TestFreshVMInOutage starts a VM while the platform is away: it gets the notes
// from its peers, holds no share and owns nothing, and serves all the same.
func TestFreshVMInOutage(t *testing.T) {
	t.Parallel()
	f := newFleet(t, small())
	f.platformFaults(objapi.Faults{Away: true})
	lonely := f.newVM("vm-lonely", "a")
	for _, v := range f.daemons {
		v.peers.CutClient(lonely.ip)
	}
	lonely.start()
	time.Sleep(2 * time.Second)
	st, ok := lonely.status()
	assert.Assert(t, ok && !st.Ready, "a VM that knows nothing must not be ready")
	r := lonely.complete(context.Background(), keyOne, "ad-1@1", "x", 2)
	assert.Equal(t, r.code, plank.CodeNotReady)
	assert.Equal(t, r.ran, plank.NotRun)
	for _, v := range f.daemons {
		v.peers.HealClient(lonely.ip)
	}
	eventually(t, 15*time.Second, "fresh VM serves with borrowed tokens", func() bool {
		return lonely.complete(context.Background(), keyOne, "ad-1@1", "x", 2).whole
	})
	assert.Equal(t, f.ownedBy(lonely.name), 0)
}

// TestDomainCutOffGoesOn cuts a domain off from the others and the platform for
// longer than any lease. Both sides go on serving, and agree again afterwards.
func TestDomainCutOffGoesOn(t *testing.T) {
	t.Parallel()
	s := small()
	s.daemons = 2
	f := newFleet(t, s)
	f.cutOff("b")
	time.Sleep(12 * time.Second)
	for _, v := range f.daemons {
		for i := range 4 {
			r := v.complete(context.Background(), keyOne, fmt.Sprintf("ad-%d@1", i), "cut off", 10)
			assert.Assert(t, r.whole, "%s: %+v", v.name, r)
		}
	}
	// The cut-off domain still loads adapters that it did not hold.
	r := f.daemons[2].complete(context.Background(), keyOne, "ad-33@1", "cold", 5)
	assert.Assert(t, r.whole, "%+v", r)
	n := &notes.Note{}
	n.Keys.Withdraw = []string{"key-two"}
	f.apply(n)
	eventually(t, 6*time.Second, "withdrawn where reachable", func() bool {
		return f.daemons[0].complete(context.Background(), keyTwo, "ad-1@1", "x", 2).status == 401
	})
	assert.Assert(t, !f.inForce(), "a domain that was not reached must be named")
	f.heal("b")
	healed := time.Now()
	eventually(t, 6*time.Second, "withdrawn after the cut", func() bool {
		return f.daemons[2].complete(context.Background(), keyTwo, "ad-1@1", "x", 2).status == 401
	})
	t.Logf("withdrawn %v after the cut healed", time.Since(healed))
	eventually(t, 15*time.Second, "in force everywhere", f.inForce)
	f.checkEngines()
}

// TestRestartedVMNeverGoesBack restarts a daemon behind a platform that it
// cannot reach: it becomes ready only with the notes that its peers have.
func TestRestartedVMNeverGoesBack(t *testing.T) {
	t.Parallel()
	f := newFleet(t, small())
	n := &notes.Note{}
	n.Keys.Withdraw = []string{"key-two"}
	f.apply(n)
	eventually(t, 6*time.Second, "in force", f.inForce)
	v := f.daemons[0]
	v.platform.Cut()
	v.proc.signal(syscall.SIGKILL)
	v.start()
	eventually(t, 15*time.Second, "ready again", func() bool { st, ok := v.status(); return ok && st.Ready })
	st, _ := v.status()
	assert.Equal(t, st.Applied, plank.NoteNumber(2))
	assert.Equal(t, v.complete(context.Background(), keyTwo, "ad-1@1", "x", 2).status, 401)
}
