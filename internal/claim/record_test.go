package claim_test

import (
	"fmt"
	"testing"

	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/claim"
	"pgregory.net/rapid"
)

// TestRecordInvariants applies random updates, some of which are not applicable,
// and checks after each: the sum of the shares does not exceed the domain's share,
// a share rises only by AcquireShare for its member, no term decreases, and a new
// owner has a new term.
func TestRecordInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := claim.Record{Domain: "a"}
		r, _ = r.SetShare(333_333)
		endpoints := []plank.EndpointID{"e1", "e2", "e3", "e4", "e5"}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			vm := plank.VMID(fmt.Sprintf("vm-%d", rapid.IntRange(0, 4).Draw(t, "vm")))
			before := r
			op := rapid.IntRange(0, 6).Draw(t, "op")
			switch op {
			case 0:
				boot := plank.BootID(fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "boot")))
				r, _ = r.Join(claim.Member{VM: vm, Boot: boot, Address: "x"})
			case 1:
				r, _ = r.Remove(vm)
			case 2:
				r, _ = r.ReleaseShare(vm, plank.PPM(rapid.IntRange(0, 400_000).Draw(t, "ppm")))
			case 3:
				r, _ = r.AcquireShare(vm)
			case 4:
				r, _ = r.ClaimEndpoints(vm, endpoints[:rapid.IntRange(0, 5).Draw(t, "n")])
			case 5:
				if e, to, ok := r.SurplusEndpoint(vm); ok {
					r, _ = r.TransferEndpoint(vm, e, to)
				}
			case 6:
				r, _ = r.SetShare(999_999)
			}
			checkChange(t, before, r, op == 3, vm)
		}
	})
}

func checkChange(t *rapid.T, before, after claim.Record, isAcquire bool, vm plank.VMID) {
	sum := plank.PPM(0)
	for _, m := range after.Members {
		sum += m.Share
		old, _ := before.Member(m.VM)
		if m.Share < 0 || m.Share > old.Share && !(isAcquire && m.VM == vm) {
			t.Fatalf("share of %s changed from %d to %d", m.VM, old.Share, m.Share)
		}
	}
	if sum > after.Share || after.Share != 333_333 {
		t.Fatalf("sum of shares is %d, domain's share is %d, want 333333", sum, after.Share)
	}
	for _, c := range before.Claims {
		now, ok := after.Claim(c.Endpoint)
		if !ok || now.Term < c.Term {
			t.Fatalf("term of %s decreased or claim removed: %+v to %+v", c.Endpoint, c, now)
		}
		if now.VM != c.VM && now.VM != "" && now.Term == c.Term {
			t.Fatalf("new owner of %s has the previous term: %+v to %+v", c.Endpoint, c, now)
		}
	}
}

// TestRecordConverges lets members join one by one and update the record in turn,
// and checks that all shares reach the target and that each member owns an equal
// part of the endpoints: at least the mean rounded down, and at most one more than
// the mean rounded up.
func TestRecordConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := claim.Record{Domain: "a"}
		r, _ = r.SetShare(900_000)
		var endpoints []plank.EndpointID
		for i := range rapid.IntRange(1, 12).Draw(t, "endpoints") {
			endpoints = append(endpoints, plank.EndpointID(fmt.Sprintf("e%02d", i)))
		}
		n := rapid.IntRange(1, 6).Draw(t, "members")
		for i := range n {
			vm := plank.VMID(fmt.Sprintf("vm-%d", i))
			r, _ = r.Join(claim.Member{VM: vm, Boot: "1"})
			for range 40 {
				for _, m := range r.Members {
					r, _ = r.ReleaseShare(m.VM, r.ExcessShare(m.VM))
					r, _ = r.AcquireShare(m.VM)
					r, _ = r.ClaimEndpoints(m.VM, endpoints)
					if e, to, ok := r.SurplusEndpoint(m.VM); ok {
						r, _ = r.TransferEndpoint(m.VM, e, to)
					}
				}
			}
		}
		counts := make(map[plank.VMID]int)
		for _, c := range r.Claims {
			counts[c.VM]++
		}
		for _, m := range r.Members {
			if m.Share != r.TargetShare() {
				t.Fatalf("share of %s is %d, target %d", m.VM, m.Share, r.TargetShare())
			}
			if c := counts[m.VM]; c < len(endpoints)/n || c > (len(endpoints)+n-1)/n+1 {
				t.Fatalf("%s owns %d of %d endpoints, %d members", m.VM, c, len(endpoints), n)
			}
		}
	})
}
