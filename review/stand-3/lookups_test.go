//go:build review

package stand3_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"
)

// lookups sends requests of an idempotent route, as the users' clients do.
type lookups struct {
	fleet    *fleet
	rec      *record
	sent, ok atomic.Int64
}

// run sends requests until ctx ends.
func (l *lookups) run(ctx context.Context) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8, IdleConnTimeout: 10 * time.Second}, Timeout: 4 * time.Second}
	for n := 1; ctx.Err() == nil; n++ {
		time.Sleep(time.Duration(rand.ExpFloat64() / lookupsPerS * float64(time.Second)))
		v := l.fleet.vms[rand.IntN(len(l.fleet.vms))]
		id := fmt.Sprintf("%016x", n)
		go func() {
			r, err := http.NewRequest(http.MethodGet, "http://"+v.callers+"/lookup/2f", nil)
			if err != nil {
				return
			}
			r.Host = "shop.example"
			r.Header.Set("Knapweedplank-Attempt-Id", id)
			r.Header.Set("Knapweedplank-Deadline-Ms", "4000")
			r.Header.Set("Authorization", "Token key-1")
			l.sent.Add(1)
			l.rec.addf("client: request %s to %s", id, v.name)
			resp, err := client.Do(r)
			if err != nil {
				l.rec.addf("client: request %s: %v", id, err)
				return
			}
			defer resp.Body.Close()
			_, _ = io.Copy(io.Discard, resp.Body)
			l.rec.addf("client: request %s: status %d", id, resp.StatusCode)
			if resp.StatusCode == http.StatusOK {
				l.ok.Add(1)
			}
		}()
	}
}
