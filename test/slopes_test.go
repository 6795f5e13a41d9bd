package test

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/stand/objapi"
	"knapweedplank.org/plank/pkg/notes"
)

// This file measures what control costs a daemon at several sizes. It is a
// benchmark: go test ./test -run '^$' -bench Control -benchtime 1x -timeout 30m

// A size is one point of the measurement.
type size struct {
	domains, vms, engines int // VMs and engines per domain
	adapters              int
	notes                 float64 // a second
}

// A cost is what one daemon spends, as the mean over all daemons.
type cost struct {
	cpu       float64 // percent of a core
	rss       float64 // MB
	bytes     float64 // KB/s, read and written
	calls     float64 // platform calls a second
	writes    float64 // platform writes a second
	spreadSec float64 // time until a note is in force on the last daemon
}

// BenchmarkControl prints a row for each size.
func BenchmarkControl(b *testing.B) {
	sizes := []size{
		{1, 3, 3, 3000, 0}, {1, 6, 3, 3000, 0}, {1, 12, 3, 3000, 0}, {1, 24, 3, 3000, 0},
		{1, 6, 12, 3000, 0}, {1, 6, 36, 3000, 0}, {1, 6, 72, 3000, 0},
		{1, 6, 12, 1000, 0}, {1, 6, 12, 8000, 0}, {1, 6, 12, 24000, 0},
		{1, 6, 12, 24000, 1}, {1, 6, 12, 24000, 4},
		{2, 3, 9, 3000, 0}, {4, 3, 9, 3000, 0}, {8, 3, 9, 3000, 0}, {12, 3, 9, 3000, 0},
		{1, 22, 69, 24000, 0.025}, {2, 22, 69, 24000, 0.025},
	}
	for _, s := range sizes {
		name := fmt.Sprintf("domains=%d/vms=%d/engines=%d/adapters=%d/notes=%g", s.domains, s.vms, s.engines, s.adapters, s.notes)
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				c := measureControl(b, s)
				b.ReportMetric(c.cpu, "cpu%")
				b.ReportMetric(c.rss, "MB")
				b.ReportMetric(c.bytes, "KB/s")
				b.ReportMetric(c.calls, "calls/s")
				b.ReportMetric(c.writes, "writes/s")
				b.ReportMetric(c.spreadSec, "spread-s")
				b.ReportMetric(0, "ns/op")
			}
		})
	}
}

// measureTime is how long the costs are counted.
const measureTime = 15 * time.Second

func measureControl(b *testing.B, s size) cost {
	f := sizedFleet(b, s)
	n := float64(len(f.daemons))
	time.Sleep(3 * time.Second)
	cpu, bytes, calls, began := f.sumCPU(), f.sumBytes(), f.sumCalls(), time.Now()
	puts := getJSON[objapi.Stats](b, f.platform, "/test/stats").Puts
	written := 0
	for time.Since(began) < measureTime {
		if s.notes == 0 {
			time.Sleep(measureTime - time.Since(began))
			break
		}
		f.apply(adapterNote(fmt.Sprintf("change-%d", written), 0, 1))
		written++
		time.Sleep(min(time.Duration(float64(time.Second)/s.notes), measureTime-time.Since(began)))
	}
	took := time.Since(began).Seconds()
	return cost{
		cpu:       100 * (f.sumCPU() - cpu) / took / n,
		rss:       f.sumRSS() / n,
		bytes:     (f.sumBytes() - bytes) / 1024 / took / n,
		calls:     (f.sumCalls() - calls) / took / n,
		writes:    float64(getJSON[objapi.Stats](b, f.platform, "/test/stats").Puts-puts-written) / took / n,
		spreadSec: f.spread(),
	}
}

// adapterNote sets adapters from one number up to another.
func adapterNote(id string, from, to int) *notes.Note {
	n := &notes.Note{Id: plank.NoteID(id)}
	for i := from; i < to; i++ {
		n.Adapters.Set = append(n.Adapters.Set, notes.Adapter{Id: plank.AdapterID(fmt.Sprintf("adapter-%05d", i)), Version: "1", Base: "base"})
	}
	return n
}

// sizedFleet starts a fleet whose engines are listeners of one stand-in.
func sizedFleet(b *testing.B, s size) *fleet {
	f := &fleet{t: b, shape: small()}
	f.shape.domains, f.shape.adapters, f.shape.slots = nil, 0, 16
	_, f.platform = start(b, true, "standin", "platform")
	for d := range s.domains {
		name := fmt.Sprintf("d%02d", d)
		f.shape.domains = append(f.shape.domains, name)
		_, addrs := start(b, true, "standin", "engine", fmt.Sprintf("--count=%d", s.engines))
		for i, addr := range strings.Split(addrs, ",") {
			f.engines = append(f.engines, &backend{id: fmt.Sprintf("engine-%s-%d", name, i), domain: name, addr: addr})
		}
	}
	f.apply(f.firstNote())
	for from := 0; from < s.adapters; from += 4000 {
		f.apply(adapterNote(fmt.Sprintf("adapters-%d", from), from, min(s.adapters, from+4000)))
	}
	for d := range s.domains {
		for i := range s.vms {
			f.daemons = append(f.daemons, f.newVM(fmt.Sprintf("vm-%02d-%02d", d, i), f.shape.domains[d]))
		}
	}
	for _, v := range f.daemons {
		v.start()
	}
	for _, v := range f.daemons {
		v.waitServing(s.engines)
	}
	return f
}

// spread applies a note and returns how long it takes to be in force on the
// last daemon.
func (f *fleet) spread() float64 {
	number := f.apply(adapterNote("spread", 0, 1))
	began := time.Now()
	for _, v := range f.daemons {
		eventually(f.t, time.Minute, "note in force", func() bool {
			st, ok := v.status()
			return ok && st.Applied >= number
		})
	}
	return time.Since(began).Seconds()
}

func (f *fleet) sumCPU() float64 {
	const ticksPerSecond = 100
	sum := 0.0
	for _, v := range f.daemons {
		text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", v.proc.cmd.Process.Pid))
		assert.NilError(f.t, err)
		fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')'):]))
		user, _ := strconv.ParseFloat(fields[12], 64)
		system, _ := strconv.ParseFloat(fields[13], 64)
		sum += (user + system) / ticksPerSecond
	}
	return sum
}

// procField sums a field of a file under /proc over all daemons.
func (f *fleet) procField(file, name string) float64 {
	sum := 0.0
	for _, v := range f.daemons {
		text, err := os.ReadFile(fmt.Sprintf("/proc/%d/%s", v.proc.cmd.Process.Pid, file))
		assert.NilError(f.t, err)
		for line := range strings.Lines(string(text)) {
			if value, ok := strings.CutPrefix(line, name+":"); ok {
				n, err := strconv.ParseFloat(strings.Fields(value)[0], 64)
				assert.NilError(f.t, err)
				sum += n
			}
		}
	}
	return sum
}

func (f *fleet) sumRSS() float64 { return f.procField("status", "VmRSS") / 1024 }

// sumBytes counts what the daemons read and wrote, of which sockets are by far
// the most.
func (f *fleet) sumBytes() float64 { return f.procField("io", "rchar") + f.procField("io", "wchar") }

func (f *fleet) sumCalls() float64 {
	sum := 0.0
	for _, v := range f.daemons {
		st, _ := v.status()
		sum += float64(st.PlatformCalls)
	}
	return sum
}

// BenchmarkOverhead compares a completion of one token through a daemon, on its
// own engine and on another daemon's, with the same call of the engine.
func BenchmarkOverhead(b *testing.B) {
	s := small()
	s.domains, s.daemons, s.engines, s.services, s.rate, s.burst = []string{"a"}, 2, 1, 1, 1e9, 1e9
	s.engineArgs = []string{"--step=100us"}
	f := newFleet(b, s)
	engine := &vm{callers: f.engines[0].address()}
	ctx := context.Background()
	for f.daemons[0].complete(ctx, keyOne, "ad-1@1", "x", 1).status != 200 {
		time.Sleep(50 * time.Millisecond)
	}
	direct, forwarded := f.daemons[0], f.daemons[1]
	if f.ownedBy(direct.name) == 0 {
		direct, forwarded = forwarded, direct
	}
	for _, c := range []struct {
		name string
		to   *vm
	}{{"engine", engine}, {"direct", direct}, {"forwarded", forwarded}} {
		b.Run(c.name, func(b *testing.B) {
			var took []time.Duration
			for b.Loop() {
				r := c.to.complete(ctx, keyOne, "ad-1@1", "x", 1)
				assert.Assert(b, r.whole, "%+v", r)
				took = append(took, r.ended.Sub(r.began))
			}
			slices.Sort(took)
			b.ReportMetric(float64(took[len(took)/2].Microseconds()), "p50-us")
			b.ReportMetric(float64(took[len(took)*99/100].Microseconds()), "p99-us")
		})
	}
}
