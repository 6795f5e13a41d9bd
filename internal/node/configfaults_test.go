package node

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"knapweedplank.org/plank"
)

// contactTime is how long a VM must have been undisturbed until the bound of a configuration
// holds for it, in the users' grown sites.
const contactTime = 4 * time.Second

// A configJudge checks that configurations are in force in time, and never go back.
type configJudge struct {
	d *slowDomain
	// writtenAt holds when each version was written.
	writtenAt map[plank.ManifestVersion]time.Time
	newest    plank.ManifestVersion
	// Of each VM, by IP address: the end of its last fault, the newest version seen there,
	// and the last version that was late.
	disturbedUntil map[string]time.Time
	seen, late     map[string]plank.ManifestVersion
	begin          time.Time
	faults, errors []string
}

// log records a fault.
func (j *configJudge) log(format string, args ...any) {
	j.faults = append(j.faults, fmt.Sprintf("%5.2f ", time.Since(j.begin).Seconds())+fmt.Sprintf(format, args...))
}

// check checks all VMs now.
func (j *configJudge) check() {
	for _, n := range j.d.nodes {
		ip := n.settings.IP
		now := time.Now()
		have := n.view.Load().Manifest.Version
		if have < j.seen[ip] {
			j.errors = append(j.errors, fmt.Sprintf("%s went back from version %d to %d", ip, j.seen[ip], have))
		}
		j.seen[ip] = have
		if due := have + 1; j.late[ip] < due && now.Sub(j.disturbedUntil[ip]) > contactTime {
			if at, ok := j.writtenAt[due]; ok && now.Sub(at) > configBound {
				j.late[ip] = due
				j.errors = append(j.errors, fmt.Sprintf("%5.2f: %s has version %d, not %d, %v after it was written", now.Sub(j.begin).Seconds(), ip, have, due, now.Sub(at)))
			}
		}
	}
}

// wait checks for a time.
func (j *configJudge) wait(length time.Duration) {
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		j.check()
	}
}

// VMs whose watchers freeze or lose the store hear of configurations in time, small and
// large ones, alone and in quick succession. CONFIG_SEEDS=FROM-COUNT plays other seeds.
func TestConfigurationsUnderRandomFaults(t *testing.T) {
	from, count := uint64(1), uint64(1)
	if text := os.Getenv("CONFIG_SEEDS"); text != "" {
		_, err := fmt.Sscanf(text, "%d-%d", &from, &count)
		assert.NilError(t, err)
	}
	for seed := from; seed < from+count; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { testConfigurationsUnderFaults(t, rand.New(rand.NewPCG(seed, 3))) })
	}
}

func testConfigurationsUnderFaults(t *testing.T, rng *rand.Rand) {
	const vms, rounds = 16, 10
	d := startDomain(t, vms)
	d.awaitStable(t)
	j := &configJudge{
		d: d, writtenAt: make(map[plank.ManifestVersion]time.Time), newest: 1, disturbedUntil: make(map[string]time.Time),
		seen: make(map[string]plank.ManifestVersion), late: make(map[string]plank.ManifestVersion), begin: time.Now(),
	}
	routes := 50
	for range rounds {
		switch rng.IntN(6) {
		case 0, 1:
			j.disturbSome(rng, "freezes", d.links.freeze, d.links.thaw)
		case 2:
			j.disturbSome(rng, "loses the store", d.links.cutStore, d.links.healStore)
		case 3:
			d.store.DropHistory()
			j.log("history dropped")
		}
		for range rng.IntN(3) {
			if rng.IntN(3) == 0 {
				routes = []int{50, 1450}[rng.IntN(2)]
			}
			j.newest++
			d.writeConfig(int(j.newest), routes, fmt.Sprint("s", j.newest))
			j.writtenAt[j.newest] = time.Now()
			j.log("version %d, %d routes", j.newest, routes)
			j.wait(time.Duration(rng.IntN(1300)) * time.Millisecond)
		}
		j.wait(time.Duration(rng.IntN(1500)) * time.Millisecond)
	}
	j.wait(contactTime + configBound)
	assert.Assert(t, len(j.errors) == 0, "%s\nfaults:\n%s", strings.Join(j.errors, "\n"), strings.Join(j.faults, "\n"))
}

// victim returns a VM that watches the store, or any VM.
func (j *configJudge) victim(rng *rand.Rand) *Node {
	var watching []*Node
	for _, n := range j.d.nodes {
		if n.watchPolicy.mustWatch() {
			watching = append(watching, n)
		}
	}
	if len(watching) == 0 || rng.IntN(3) == 0 {
		return j.d.nodes[rng.IntN(len(j.d.nodes))]
	}
	return watching[rng.IntN(len(watching))]
}

// disturbSome applies a fault to some VMs for a while.
func (j *configJudge) disturbSome(rng *rand.Rand, fault string, begin, end func(vm string)) {
	for range 1 + rng.IntN(3) {
		vm, length := j.victim(rng).settings.IP, time.Duration(300+rng.IntN(4000))*time.Millisecond
		j.log("%s %s for %v", vm, fault, length)
		if end := time.Now().Add(length); end.After(j.disturbedUntil[vm]) {
			j.disturbedUntil[vm] = end
		}
		begin(vm)
		time.AfterFunc(length, func() { end(vm) })
	}
}
