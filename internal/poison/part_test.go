package poison_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/poison"
)

// A manualClock is set by the test.
type manualClock struct{ now time.Time }

func (c *manualClock) Now() time.Time { return c.now }

// An event of a part test: an endpoint crashes on the un-begun requests, or an answer to a
// request with the given parts begins.
type event struct {
	begun []plank.PartID
	crash [][]plank.PartID // the parts of each request
	// again is set if the requests are those of the previous crash.
	again bool
	// at once is set if the event follows the previous one without a pause.
	atOnce bool
}

func begin(parts ...plank.PartID) event            { return event{begun: parts} }
func crash(requests ...[]plank.PartID) event       { return event{crash: requests} }
func request(parts ...plank.PartID) []plank.PartID { return parts }

func repeated(n int, events ...event) []event {
	var out []event
	for range n {
		out = append(out, events...)
	}
	return out
}

func sequence(groups ...[]event) []event {
	var out []event
	for _, g := range groups {
		out = append(out, g...)
	}
	return out
}

// tables are the tables of a number of VMs that tell each other their observations.
func tables(n int, clock plank.Clock) []*poison.PartTable {
	all := make([]*poison.PartTable, n)
	for i := range all {
		all[i] = poison.NewPartTable(clock, func(os []poison.Observation) {
			for j, other := range all {
				if j != i {
					other.Merge(os)
				}
			}
		}, func(poison.Quarantine, bool) {})
	}
	return all
}

func TestPartQuarantine(t *testing.T) {
	tests := []struct {
		name        string
		events      []event
		quarantined string // the parts of each quarantine
	}{
		{"two crashes", repeated(2, crash(request("deadly"))), ""},
		{"three crashes", repeated(3, crash(request("deadly"))), "deadly"},
		{"sound parts beside it are served before", sequence([]event{begin("first", "second")}, repeated(3, crash(request("first", "deadly"), request("first", "second")))), "deadly"},
		{"sound parts beside it are served in between", repeated(3, crash(request("first", "deadly"), request("first", "second")), begin("first", "second")), "deadly"},
		{"a cold sound part is beside it once", sequence(repeated(2, crash(request("deadly"))), []event{crash(request("deadly"), request("cold"))}), "deadly"},
		{"a cold sound part is always beside it", repeated(3, crash(request("cold", "deadly"))), "cold deadly"},
		{"always beside it, then served without it", sequence(repeated(3, crash(request("cold", "deadly"))), []event{begin("cold")}), "deadly"},
		{"always beside it, then one crash without it", sequence(repeated(3, crash(request("cold", "deadly"))), []event{crash(request("deadly"))}), "deadly"},
		{"a cold sound part is in as many other crashes", sequence(repeated(3, crash(request("deadly"), request("cold"))), []event{crash(request("deadly")), crash(request("cold"))}), ""},
		{"in as many other crashes, for long", sequence(repeated(4, crash(request("deadly"), request("cold"))), []event{crash(request("deadly")), crash(request("cold"))}), "cold; deadly"},
		{"a part that was served turns deadly", sequence([]event{begin("deadly")}, repeated(4, crash(request("deadly")))), ""},
		{"a part that was served turns deadly, five crashes", sequence([]event{begin("deadly")}, repeated(5, crash(request("deadly")))), "deadly"},
		{"crashes of other causes", repeated(20, crash(request("sound")), begin("sound")), ""},
		{"many endpoints lost at once", sequence(repeated(1, crash(request("new"))), repeated(9, event{crash: [][]plank.PartID{{"new"}}, atOnce: true})), ""},
		{"one request again and again", sequence([]event{crash(request("sound"))}, repeated(4, event{crash: [][]plank.PartID{{"sound"}}, again: true})), ""},
		{"two deadly parts", repeated(3, crash(request("one")), crash(request("two"))), "one; two"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			clock := &manualClock{time.Unix(1_800_000_000, 0)}
			vms := tables(3, clock)
			requests := 0
			for i, e := range test.events {
				if !e.atOnce {
					clock.now = clock.now.Add(time.Second)
				}
				if !e.again {
					requests++
				}
				for n, parts := range e.crash {
					fp := plank.Fingerprint(fmt.Sprint(requests, n))
					vms[(i+n)%len(vms)].RecordCrash(plank.Run{Endpoint: "e", Born: int64(i)}, fp, parts)
				}
				if len(e.begun) > 0 {
					vms[i%len(vms)].RecordBegun(e.begun)
				}
			}
			for _, vm := range vms {
				var got []string
				for _, q := range vm.Quarantines() {
					var parts []string
					for _, part := range q.Parts {
						parts = append(parts, string(part))
					}
					got = append(got, strings.Join(parts, " "))
				}
				slices.Sort(got)
				assert.Equal(t, strings.Join(got, "; "), test.quarantined)
			}
			clock.now = clock.now.Add(2 * time.Hour)
			for _, vm := range vms {
				vm.Expire()
				assert.Equal(t, len(vm.Quarantines()), 0, "quarantined after their time")
			}
		})
	}
}
