//go:build review

package stand3_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"syscall"
	"time"
)

// This file holds the script of VERSION: a late copy of the write of an older version is done after a
// newer one was acknowledged, and then the machines are stopped and started in turn.

const (
	versionBound = 5 * time.Second         // bounds.version_ms
	lateCopy     = 4500 * time.Millisecond // a late write is done 1 to 6 s later
)

// renamed are the adapters of which new versions are named: popular ones, which are now and then
// unloaded for others.
var renamed = []string{"a6", "a7", "a8", "a9", "a10", "a11"}

// runStale runs the case.
func runStale(rec *record, trouble bool) (broken bool, err error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c, err := newDeployment(ctx, rec, "")
	if err != nil {
		return false, err
	}
	defer c.fleet.close()
	var mu sync.Mutex
	var newest int
	var acknowledged time.Time // of newest
	begun, late := 0, 0
	for _, e := range c.engines {
		e.onBegin = func(e *engine, id, adapter string, version int) {
			mu.Lock()
			defer mu.Unlock()
			if !slices.Contains(renamed, adapter) || newest == 0 {
				return
			}
			begun++
			if age := time.Since(acknowledged); version < newest && age > versionBound {
				late++
				rec.addf("VERSION broken: worker %s: request %s begins on %s@%d, %.3f s after version %d was acknowledged", e.id, id, adapter, version, age.Seconds(), newest)
			}
		}
	}
	time.Sleep(2 * time.Second)
	load := newStreams(c, 60, 1000)
	go load.run(ctx)
	time.Sleep(3 * time.Second)
	write := func(version int) {
		for _, a := range renamed {
			c.fleet.store.Put("versions/"+modelName+"."+a, map[string]any{"model": modelName, "adapter": a, "version": version})
		}
	}
	write(2)
	rec.addf("store: version 2 of %v, not answered", renamed)
	if trouble {
		time.AfterFunc(lateCopy, func() {
			write(2)
			rec.addf("store: a copy of these writes is done, %.3f s later", lateCopy.Seconds())
		})
	}
	time.Sleep(time.Second)
	write(2)
	rec.addf("store: version 2 of %v, sent again, acknowledged", renamed)
	time.Sleep(time.Second)
	write(3)
	mu.Lock()
	newest, acknowledged = 3, time.Now()
	mu.Unlock()
	rec.addf("store: version 3 of %v, acknowledged", renamed)
	time.Sleep(10 * time.Second)
	c.fleet.bootstrap = false
	for _, v := range c.fleet.vms {
		c.fleet.signal(v, syscall.SIGTERM)
		select {
		case <-v.exited:
		case <-time.After(8 * time.Second):
			c.fleet.signal(v, syscall.SIGKILL)
			<-v.exited
		}
		if err := c.fleet.start(v); err != nil {
			return false, err
		}
		time.Sleep(time.Second)
	}
	time.Sleep(15 * time.Second)
	cancel()
	rec.addf("sent %d, whole answers %d, refused %d, given up or broken %d", load.sent.Load(), load.whole.Load(), load.refused.Load(), load.failed.Load())
	mu.Lock()
	defer mu.Unlock()
	rec.addf("of %d requests for them since version 3 was acknowledged, %d began on an older one later than %v after it", begun, late, versionBound)
	if load.whole.Load() < load.sent.Load()/2 {
		return false, fmt.Errorf("only %d of %d requests had a whole answer", load.whole.Load(), load.sent.Load())
	}
	return late > 0, nil
}
