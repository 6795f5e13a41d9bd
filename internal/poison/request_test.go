package poison_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/poison"
)

// requestTables are the tables of a number of VMs that tell each other their observations.
func requestTables(n int, clock plank.Clock) []*poison.RequestTable {
	all := make([]*poison.RequestTable, n)
	for i := range all {
		all[i] = poison.NewRequestTable(clock, func(os []poison.Observation) {
			for j, other := range all {
				if j != i {
					other.Merge(slices.Clone(os))
				}
			}
		})
	}
	return all
}

// TestRequestQuarantine checks when a request is quarantined. Several equal requests on an
// endpoint that crashed once were counted as so many crashes, and no success cleared them.
func TestRequestQuarantine(t *testing.T) {
	const (
		crash    = iota
		crashes  // of one endpoint, with equal requests of all VMs
		crashNow // at the moment of the crash before
		serve
	)
	for _, test := range []struct {
		name   string
		events []int
		want   bool
	}{
		{"two crashes", []int{crash, crash}, false},
		{"three crashes", []int{crash, crash, crash}, true},
		{"one crash beside equal requests", []int{crashes}, false},
		{"two crashes beside equal requests", []int{crashes, crashes}, false},
		{"three crashes beside equal requests", []int{crashes, crashes, crashes}, true},
		{"many endpoints lost at once", []int{crash, crashNow, crashNow, crashNow}, false},
		{"served in between", []int{crash, crash, serve, crash, crash}, false},
		{"served in between, then three crashes", []int{crash, crash, serve, crash, crash, crash}, false},
		{"served before", []int{serve, crash, crash, crash, crash}, false},
		{"served before, five crashes", []int{serve, crash, crash, crash, crash, crash}, true},
		{"served afterwards", []int{crash, crash, crash, serve}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			clock := &manualClock{time.Unix(1_800_000_000, 0)}
			vms := requestTables(3, clock)
			for i, e := range test.events {
				if e != crashNow {
					clock.now = clock.now.Add(time.Second)
				}
				run := plank.Run{Endpoint: "e", Born: int64(i)}
				switch e {
				case crashes:
					for _, vm := range vms {
						vm.RecordCrash(run, "f")
						vm.RecordCrash(run, "f")
					}
				case serve:
					vms[i%len(vms)].RecordServed("f")
				default:
					vms[i%len(vms)].RecordCrash(run, "f")
				}
			}
			for _, vm := range vms {
				n, quarantined := vm.Lookup("f")
				assert.Equal(t, quarantined, test.want, "%d crashes", n)
				_, quarantined = vm.Lookup("g")
				assert.Assert(t, !quarantined)
			}
			clock.now = clock.now.Add(2 * time.Hour)
			for _, vm := range vms {
				n, quarantined := vm.Lookup("f")
				assert.Assert(t, !quarantined && n == 0, "quarantined after its time")
				vm.Expire()
			}
		})
	}
}

// Guards against a table that grows with each request beside a crash, and one whose oldest entries
// crowd out a request that crashes endpoints now.
func TestRequestTableIsFull(t *testing.T) {
	clock := &manualClock{time.Unix(1_800_000_000, 0)}
	table := poison.NewRequestTable(clock, func([]poison.Observation) {})
	for i := range 3 * poison.MaxRequestObservations {
		clock.now = clock.now.Add(time.Millisecond)
		table.RecordCrash(plank.Run{Endpoint: "e", Born: 1}, plank.Fingerprint(time.Duration(i).String()))
	}
	for i := range 3 {
		clock.now = clock.now.Add(time.Second)
		table.RecordCrash(plank.Run{Endpoint: "e", Born: int64(i)}, "deadly")
	}
	_, quarantined := table.Lookup("deadly")
	assert.Assert(t, quarantined)
	n, _ := table.Lookup(plank.Fingerprint(time.Duration(0).String()))
	assert.Equal(t, n, 0, "the oldest entry is kept")
}
