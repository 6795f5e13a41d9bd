package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// This file holds the case of LIMIT: a worker leaves orders unanswered and carries them out late,
// and starts again under its id in between.

// runLateOrder runs the case. With trouble, half of the orders to one worker get no answer for
// 5.5 s in each cycle, and the worker crashes meanwhile.
func runLateOrder(rec *record, trouble bool) (broken bool, err error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c, err := newDeployment(ctx, rec)
	if err != nil {
		return false, err
	}
	defer c.fleet.close()
	var mu sync.Mutex
	var excess []string
	for n, e := range c.engines {
		e.rng = rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), uint64(n)))
		e.onExcess = func(e *engine, o lateOrder) {
			mu.Lock()
			defer mu.Unlock()
			text := fmt.Sprintf("worker %s is ordered to load %s beyond its %d places, by an order sent %.3f s before", e.id, o.adapter, adapterPlaces, time.Since(o.sent).Seconds())
			excess = append(excess, text)
			rec.addf("LIMIT broken: %s", text)
		}
	}
	time.Sleep(3 * time.Second)
	load := newVersionLoad(c, 80, 700)
	go load.run(ctx)
	e := c.engines[0]
	const cycles, lateFor, downFor, cycle = 10, 5500 * time.Millisecond, 500 * time.Millisecond, 10 * time.Second
	for range cycles {
		begun := time.Now()
		time.Sleep(3 * time.Second)
		if trouble {
			e.setLateShare(0.5)
			time.AfterFunc(lateFor, func() { e.setLateShare(0) })
		}
		time.Sleep(5 * time.Second)
		if trouble {
			e.crash()
			time.Sleep(downFor)
			if err := e.restart(); err != nil {
				return false, err
			}
			c.fleet.store.Put("servers/"+e.id, e.registration())
		}
		time.Sleep(time.Until(begun.Add(cycle)))
	}
	cancel()
	rec.addf("sent %d, whole answers %d, refused %d, given up or broken %d", load.sent.Load(), load.whole.Load(), load.refused.Load(), load.failed.Load())
	mu.Lock()
	defer mu.Unlock()
	if load.whole.Load() < load.sent.Load()/2 {
		return false, fmt.Errorf("only %d of %d requests had a whole answer", load.whole.Load(), load.sent.Load())
	}
	return len(excess) > 0, nil
}
