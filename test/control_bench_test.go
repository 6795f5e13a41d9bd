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

// This file measures the cost of the control plane per daemon for several fleet
// sizes. Run it as a benchmark: go test ./test -run '^$' -bench Control -benchtime 1x -timeout 30m

// A controlSize is the size of a fleet to measure.
type controlSize struct {
	domains, vmsPerDomain, enginesPerDomain int
	adapters                                int
	notesPerSec                             float64 // release notes applied per second
}

// A controlCost is the cost of the control plane per daemon, as the mean over all
// daemons.
type controlCost struct {
	cpuPercent           float64 // of one core
	rssMB                float64 // resident set size
	kbPerSec             float64 // read and written, in units of 1024 bytes
	platformCallsPerSec  float64 // calls to the platform
	platformWritesPerSec float64 // writes to the platform, without those of the benchmark
	propagationSec       float64 // time until a note is in force on all daemons
}

// BenchmarkControl reports the cost for each fleet size.
func BenchmarkControl(b *testing.B) {
	sizes := []controlSize{
		{1, 3, 3, 3000, 0}, {1, 6, 3, 3000, 0}, {1, 12, 3, 3000, 0}, {1, 24, 3, 3000, 0},
		{1, 6, 12, 3000, 0}, {1, 6, 36, 3000, 0}, {1, 6, 72, 3000, 0},
		{1, 6, 12, 1000, 0}, {1, 6, 12, 8000, 0}, {1, 6, 12, 24000, 0},
		{1, 6, 12, 24000, 1}, {1, 6, 12, 24000, 4},
		{2, 3, 9, 3000, 0}, {4, 3, 9, 3000, 0}, {8, 3, 9, 3000, 0}, {12, 3, 9, 3000, 0},
		{1, 22, 69, 24000, 0.025}, {2, 22, 69, 24000, 0.025},
	}
	for _, s := range sizes {
		name := fmt.Sprintf("domains=%d/vms=%d/engines=%d/adapters=%d/notes=%g", s.domains, s.vmsPerDomain, s.enginesPerDomain, s.adapters, s.notesPerSec)
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				c := measureControl(b, s)
				b.ReportMetric(c.cpuPercent, "cpu%")
				b.ReportMetric(c.rssMB, "MB")
				b.ReportMetric(c.kbPerSec, "KB/s")
				b.ReportMetric(c.platformCallsPerSec, "calls/s")
				b.ReportMetric(c.platformWritesPerSec, "writes/s")
				b.ReportMetric(c.propagationSec, "spread-s")
				b.ReportMetric(0, "ns/op")
			}
		})
	}
}

// measureTime is the length of the interval over which costs are measured.
const measureTime = 15 * time.Second

func measureControl(b *testing.B, s controlSize) controlCost {
	f := sizedFleet(b, s)
	n := float64(len(f.daemons))
	time.Sleep(3 * time.Second)
	cpu, bytes, calls, began := f.sumCPUSeconds(), f.sumBytes(), f.sumPlatformCalls(), time.Now()
	puts := getJSON[objapi.Stats](b, f.platformAddr, "/test/stats").Puts
	written := 0
	for time.Since(began) < measureTime {
		if s.notesPerSec == 0 {
			time.Sleep(measureTime - time.Since(began))
			break
		}
		f.apply(adapterNote(fmt.Sprintf("change-%d", written), 0, 1))
		written++
		time.Sleep(min(time.Duration(float64(time.Second)/s.notesPerSec), measureTime-time.Since(began)))
	}
	took := time.Since(began).Seconds()
	return controlCost{
		cpuPercent:           100 * (f.sumCPUSeconds() - cpu) / took / n,
		rssMB:                f.sumRSSMB() / n,
		kbPerSec:             (f.sumBytes() - bytes) / 1024 / took / n,
		platformCallsPerSec:  (f.sumPlatformCalls() - calls) / took / n,
		platformWritesPerSec: float64(getJSON[objapi.Stats](b, f.platformAddr, "/test/stats").Puts-puts-written) / took / n,
		propagationSec:       f.propagationTime(),
	}
}

// adapterNote returns a note that sets the adapters with numbers in [from, to).
func adapterNote(id string, from, to int) *notes.Note {
	n := &notes.Note{Id: plank.NoteID(id)}
	for i := from; i < to; i++ {
		n.Adapters.Set = append(n.Adapters.Set, notes.Adapter{Id: plank.AdapterID(fmt.Sprintf("adapter-%05d", i)), Version: "1", Base: "base"})
	}
	return n
}

// sizedFleet starts a fleet of the given size. The engines of a domain are listeners
// of one stand-in process.
func sizedFleet(b *testing.B, s controlSize) *fleet {
	f := &fleet{t: b, cfg: smallFleet()}
	f.cfg.domains, f.cfg.adapters, f.cfg.slots = nil, 0, 16
	_, f.platformAddr = start(b, true, "standin", "platform")
	for d := range s.domains {
		name := fmt.Sprintf("d%02d", d)
		f.cfg.domains = append(f.cfg.domains, name)
		_, addrs := start(b, true, "standin", "engine", fmt.Sprintf("--count=%d", s.enginesPerDomain))
		for i, addr := range strings.Split(addrs, ",") {
			f.engines = append(f.engines, &backend{id: fmt.Sprintf("engine-%s-%d", name, i), domain: name, addr: addr})
		}
	}
	f.apply(f.firstNote())
	for from := 0; from < s.adapters; from += 4000 {
		f.apply(adapterNote(fmt.Sprintf("adapters-%d", from), from, min(s.adapters, from+4000)))
	}
	for d := range s.domains {
		for i := range s.vmsPerDomain {
			f.daemons = append(f.daemons, f.newVM(fmt.Sprintf("vm-%02d-%02d", d, i), f.cfg.domains[d]))
		}
	}
	for _, v := range f.daemons {
		v.start()
	}
	for _, v := range f.daemons {
		v.waitServing(s.enginesPerDomain)
	}
	return f
}

// propagationTime applies a note and returns the seconds until it is in force on all
// daemons.
func (f *fleet) propagationTime() float64 {
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

func (f *fleet) sumCPUSeconds() float64 {
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

// sumProcField returns the sum of a field of a /proc/PID file over all daemons.
func (f *fleet) sumProcField(file, name string) float64 {
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

func (f *fleet) sumRSSMB() float64 { return f.sumProcField("status", "VmRSS") / 1024 }

// sumBytes returns the number of bytes that the daemons read and wrote, most of them
// on sockets.
func (f *fleet) sumBytes() float64 {
	return f.sumProcField("io", "rchar") + f.sumProcField("io", "wchar")
}

func (f *fleet) sumPlatformCalls() float64 {
	sum := 0.0
	for _, v := range f.daemons {
		st, _ := v.status()
		sum += float64(st.PlatformCalls)
	}
	return sum
}

// BenchmarkOverhead compares the latency of a one-token completion sent to the engine
// directly with that through the engine's owner and through another daemon.
func BenchmarkOverhead(b *testing.B) {
	s := smallFleet()
	s.domains, s.daemons, s.engines, s.services, s.rate, s.burst = []string{"a"}, 2, 1, 1, 1e9, 1e9
	s.engineArgs = []string{"--step=100us"}
	f := newFleet(b, s)
	engine := &vm{callersAddr: f.engines[0].address()}
	ctx := context.Background()
	for f.daemons[0].streamCompletion(ctx, keyOne, "ad-1@1", "x", 1).status != 200 {
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
				r := c.to.streamCompletion(ctx, keyOne, "ad-1@1", "x", 1)
				assert.Assert(b, r.complete, "%+v", r)
				took = append(took, r.ended.Sub(r.began))
			}
			slices.Sort(took)
			b.ReportMetric(float64(took[len(took)/2].Microseconds()), "p50-us")
			b.ReportMetric(float64(took[len(took)*99/100].Microseconds()), "p99-us")
		})
	}
}
