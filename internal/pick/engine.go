// Package pick defines the choice of the endpoint for a call. It performs no
// I/O.
package pick

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"knapweedplank.org/plank"
)

// The parts of the expected time to the first token. The rates and times are
// those of the engines' data sheets.
const (
	// prefillRate is how many prompt tokens an engine reads in a millisecond.
	prefillRate = 38.0
	// warmLoad and coldLoad are the times of a load of an adapter that the
	// engine held lately, and of one from the weight store.
	warmLoad = 25 * time.Millisecond
	coldLoad = 250 * time.Millisecond
	// evictTime is what an unload before a load costs.
	evictTime = 5 * time.Millisecond
	// placeHold is how long a call keeps its adapter's place, about: a place
	// becomes free every placeHold divided by the places of an engine.
	placeHold = 1500 * time.Millisecond
	// fullWait is how long it takes, about, until a full batch or memory has
	// room.
	fullWait = 1500 * time.Millisecond
	// staleWait is how long it takes, about, until the runs on an old version
	// have ended.
	staleWait = 800 * time.Millisecond
	// runCost is what each running call adds to the others' steps.
	runCost = time.Millisecond
	// farTime is what a hop to another failure domain takes, both ways.
	farTime = 5 * time.Millisecond
	// farByte is what a byte that passes between failure domains counts as, which
	// has its price; promptBytes and outputBytes are those of a token.
	farByte     = 5 * time.Microsecond
	promptBytes = 2.0
	outputBytes = 15.0
	// failCost is what a certain failure counts as.
	failCost = 3 * time.Second
	// homes is how many engines, the first by rendezvous hashing, are the homes
	// of an adapter; homeBonus is what the first of them is preferred by, so that
	// all VMs load an adapter that no engine has on the same one.
	homes     = 3
	homeBonus = 300 * time.Millisecond
	// coldPrice is what a load from the weight store counts as beside its time:
	// it takes from what the store allows to all engines, and pushes another
	// adapter out of the engine's memory. It is twice the target of a long prompt,
	// so a call is late rather than that an adapter is brought a second time.
	coldPrice = 2 * time.Second
	// easyPart is the part of the time to the target up to which a wait does no
	// harm; lateFactor weighs what lies beyond.
	easyPart   = 0.6
	lateFactor = 3
	// plainStep and readStep are an engine's step in milliseconds without and
	// with a piece of a prompt.
	plainStep = 5.0
	readStep  = 54.0
	// runWeight weighs the time that an answer takes to generate; disturbWeight
	// weighs the time that the prompt takes from each running answer. Together
	// they keep long prompts and long answers on different engines.
	runWeight     = 0.2
	disturbWeight = 0.2
	maxDisturbed  = 16
	// queueCost is what each call that waits for room adds.
	queueCost = 40 * time.Millisecond
)

// An Engine is an engine as a choice sees it.
type Engine struct {
	Instance plank.Instance
	// StateKnown is set when its holder tells its state.
	StateKnown bool
	// NoBaseModel is set while the engine holds no base model, which takes BaseLoad at
	// most to load.
	NoBaseModel bool
	BaseLoad    time.Duration
	// Resident, Stale and Loading tell how the engine has the adapter.
	Resident, Stale, Loading bool
	// RecentlyResident is set when the engine held the adapter so lately that it loads
	// it fast.
	RecentlyResident bool
	// TakenAdapterSlots and IdleAdapterSlots count the places for adapters that are taken, and those
	// of them that are idle; AdapterSlots is how many there are.
	TakenAdapterSlots, IdleAdapterSlots, AdapterSlots int
	// WaitingAdapters counts the adapters that calls wait for without a place.
	WaitingAdapters        int
	Running, Queued, Slots int
	Backlog                plank.Tokens // prompts not yet read
	PrefillRate            float64      // prompt tokens a second, lately
	KVUsed, KVCapacity     plank.Tokens
	FailRate               float64
	Avoid                  bool
	Remote                 bool
}

// A Call is the call that an engine is chosen for.
type Call struct {
	Adapter plank.AdapterRef
	Prompt  plank.Tokens
	Output  plank.Tokens
	// Target is the time left until the first token is late.
	Target time.Duration
}

// TimeToFirstToken returns the expected time to the first token on an engine.
func TimeToFirstToken(e *Engine, w Call) time.Duration {
	d := tokensTime(e.Backlog + w.Prompt)
	d += time.Duration(e.Running) * runCost
	d += time.Duration(e.Queued) * queueCost
	d += time.Duration(e.FailRate * float64(failCost))
	if e.Remote {
		d += farTime
	}
	if e.NoBaseModel {
		d += e.BaseLoad
	}
	if e.Running >= e.Slots || e.KVUsed+w.Prompt+w.Output > e.KVCapacity && e.Running > 0 {
		d += fullWait
	}
	if w.Adapter.Name != "" {
		d += loadTime(e)
	}
	return d
}

func loadTime(e *Engine) time.Duration {
	switch {
	case e.Resident && !e.Stale:
		return 0
	case e.Resident:
		return staleWait
	case e.Loading:
		return coldLoad / 2
	}
	d := coldLoad
	if e.RecentlyResident {
		d = warmLoad
	}
	return d + placeTime(e)
}

// placeTime returns how long a call waits for a place, in its turn behind the
// adapters that wait for one already.
func placeTime(e *Engine) time.Duration {
	free := e.AdapterSlots - e.TakenAdapterSlots
	turn := e.WaitingAdapters + 1
	switch {
	case turn <= free:
		return 0
	case turn <= free+e.IdleAdapterSlots:
		return evictTime
	}
	return time.Duration(turn-free-e.IdleAdapterSlots) * placeHold / time.Duration(max(1, e.AdapterSlots))
}

// Cost returns the expected time to the first token with what makes an engine
// less fit beside it.
func Cost(e *Engine, w Call) (cost, first time.Duration) {
	first = TimeToFirstToken(e, w)
	cost = first
	if late := first - time.Duration(easyPart*float64(w.Target)); late > 0 {
		cost += lateFactor * late
	}
	cost += time.Duration(disturbWeight * float64(min(e.Running, maxDisturbed)) * float64(tokensTime(w.Prompt)))
	cost += time.Duration(runWeight * float64(runTime(e, w)))
	if w.Adapter.Name != "" && e.isCold() {
		cost += coldPrice
	}
	if e.Remote {
		cost += time.Duration((promptBytes*float64(w.Prompt) + outputBytes*float64(w.Output)) * float64(farByte))
	}
	return cost, first
}

// isCold tells whether the engine would load the adapter from the weight store.
func (e *Engine) isCold() bool { return !e.Resident && !e.Loading && !e.RecentlyResident }

// runTime returns how long the answer takes to generate: a step that reads a
// piece of a prompt beside takes many times as long as one that does not.
func runTime(e *Engine, w Call) time.Duration {
	busy := min(1, e.PrefillRate/(1000*prefillRate))
	perMs := busy/readStep + (1-busy)/plainStep
	return time.Duration(float64(w.Output) / perMs * float64(time.Millisecond))
}

// rank is the rendezvous rank of an engine for a name, from 0 to 1.
func rank(name string, id plank.EndpointID) float64 {
	return float64(xxhash.Sum64String(name+"\x00"+string(id))>>11) / (1 << 53)
}

// PrefillTime returns how long an engine takes to read a prompt of which it keeps
// nothing, with nothing ahead of it.
func PrefillTime(prompt plank.Tokens) time.Duration { return tokensTime(prompt) }

func tokensTime(n plank.Tokens) time.Duration {
	return time.Duration(float64(n) / prefillRate * float64(time.Millisecond))
}

// A home is an engine with its rank.
type home struct {
	index int
	rank  float64
}

// findHomes returns the homes of an adapter, the first one first.
func findHomes(engines []Engine, ref plank.AdapterRef) [homes]home {
	var found [homes]home
	for i := range found {
		found[i].index = -1
	}
	name := ref.String()
	for i := range engines {
		h := home{index: i, rank: rank(name, engines[i].Instance.ID)}
		for k := range found {
			if found[k].index < 0 || h.rank > found[k].rank {
				h, found[k] = found[k], h
			}
		}
	}
	return found
}

// bonus returns what an engine that would load the adapter from the weight store
// is preferred by.
func bonus(found *[homes]home, i int) time.Duration {
	for k := range found {
		if found[k].index == i {
			return homeBonus * time.Duration(homes-k) / homes
		}
	}
	return 0
}

// BestEngine returns the index of the engine with the least cost, and the expected
// time to the first token there; -1 if there is none. Engines to avoid are
// taken only if there are no others, and those in skip never.
func BestEngine(engines []Engine, w Call, skip func(plank.EndpointID) bool) (int, time.Duration) {
	best := -1
	var least, expected time.Duration
	var found [homes]home
	if w.Adapter.Name != "" {
		found = findHomes(engines, w.Adapter)
	}
	for i := range engines {
		e := &engines[i]
		if skip(e.Instance.ID) || best >= 0 && e.Avoid && !engines[best].Avoid {
			continue
		}
		cost, first := Cost(e, w)
		if w.Adapter.Name != "" && e.isCold() {
			cost -= bonus(&found, i)
		}
		if best < 0 || cost < least || engines[best].Avoid && !e.Avoid {
			best, least, expected = i, cost, first
		}
	}
	return best, expected
}
