// Package pick chooses the endpoint for a call. It performs no I/O.
package pick

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"knapweedplank.org/plank"
)

// The parts of the expected time to the first token and of the cost of an
// engine. The rates and times are those of the engines' data sheets.
const (
	// prefillTokensPerMs is how many prompt tokens an engine processes in a
	// millisecond.
	prefillTokensPerMs = 38.0
	// recentLoadTime is the load time of an adapter that was recently resident,
	// storeLoadTime that of one from the weight store.
	recentLoadTime = 25 * time.Millisecond
	storeLoadTime  = 250 * time.Millisecond
	// unloadTime is the time of an unload before a load.
	unloadTime = 5 * time.Millisecond
	// slotHoldTime is about how long a call uses its adapter's slot: an adapter
	// slot becomes free every slotHoldTime divided by the number of slots.
	slotHoldTime = 1500 * time.Millisecond
	// fullWait is about how long it takes until a full batch or KV cache has
	// room.
	fullWait = 1500 * time.Millisecond
	// staleWait is about how long it takes until the calls on an old version of
	// the adapter have ended, so that the new one can be loaded in its slot.
	staleWait = slotHoldTime
	// runningCallCost is the delay by each running call.
	runningCallCost = time.Millisecond
	// crossDomainTime is the round-trip time to another failure domain.
	crossDomainTime = 5 * time.Millisecond
	// crossDomainByteCost is the cost of a byte sent between failure domains, which
	// stands for the price of the traffic; promptBytesPerToken and
	// outputBytesPerToken are the bytes of a token.
	crossDomainByteCost = 5 * time.Microsecond
	promptBytesPerToken = 2.0
	outputBytesPerToken = 15.0
	// failCost is the cost of an engine at a failure rate of 1.
	failCost = 3 * time.Second
	// preferredCount is the number of preferred engines of an adapter, the first
	// by rendezvous hashing. preferredBonus is deducted from the cost of the first
	// of them, and parts of it from the others', so that all VMs load an adapter
	// that is not resident anywhere on the same engine.
	preferredCount = 3
	preferredBonus = 300 * time.Millisecond
	// storeLoadCost is the cost of a load from the weight store beside its time:
	// it uses the load rate that all engines share, and evicts another adapter
	// from the engine's memory. It is twice the target of a long prompt, so a call
	// is delayed rather than an adapter loaded on a second engine.
	storeLoadCost = 2 * time.Second
	// slackFraction is the fraction of the time to the target up to which a wait
	// has no extra cost; lateFactor is the weight of the time beyond.
	slackFraction = 0.6
	lateFactor    = 3
	// decodeStepMs and prefillStepMs are the milliseconds of an engine's step
	// without and with a chunk of a prompt.
	decodeStepMs  = 5.0
	prefillStepMs = 54.0
	// DecodeStep is the usual time of a decoding step without a chunk of a prompt.
	DecodeStep = time.Duration(decodeStepMs * float64(time.Millisecond))
	// decodeWeight is the weight of the decoding time, interferenceWeight that of
	// the time by which the prompt delays each running call, of which
	// maxInterference count at most. Together they keep long prompts and long
	// outputs on different engines.
	decodeWeight       = 0.2
	interferenceWeight = 0.2
	maxInterference    = 16
	// queuedCallCost is the delay by each queued call.
	queuedCallCost = 40 * time.Millisecond
)

// An Engine is the state of an engine for the choice, with respect to the
// adapter of the call.
type Engine struct {
	Instance plank.Instance
	// StateKnown is set when the state was reported by the engine's holder.
	StateKnown bool
	// NoBaseModel is set while no base model is loaded; loading it takes BaseLoad
	// at most.
	NoBaseModel bool
	BaseLoad    time.Duration
	// Resident, Stale and Loading are the state of the adapter on the engine;
	// Stale is set for an old version, and InUse if calls run on the adapter.
	Resident, Stale, Loading, InUse bool
	// RecentlyResident is set when the adapter was resident so recently that its
	// load is fast.
	RecentlyResident bool
	// TakenAdapterSlots counts the adapter slots in use, IdleAdapterSlots those of
	// them without calls; AdapterSlots is the total.
	TakenAdapterSlots, IdleAdapterSlots, AdapterSlots int
	// WaitingAdapters counts the adapters without a slot that calls wait for.
	WaitingAdapters int
	// Running and Queued count calls; Slots is how many can run at once.
	Running, Queued, Slots int
	Backlog                plank.Tokens // prompt tokens not yet processed
	PrefillRate            float64      // recent prompt tokens a second
	KVUsed, KVCapacity     plank.Tokens // of the KV cache
	FailRate               float64      // fraction of recent calls that failed
	// Kept is how many tokens of the call's prompt the engine keeps from earlier calls.
	Kept plank.Tokens
	// Pace is how long work takes on the engine, relative to the usual time; 0 if it is not
	// learned.
	Pace float64
	// ColdWait is how long the call waits until a cold engine may get it; 0 for a warm one.
	ColdWait time.Duration
	// EventTokens is the number of tokens in an event of a stream; 0 if not known.
	EventTokens plank.Tokens
	// StrictGaps counts the streams on the engine with a longest pause whose events are not
	// late yet, and StrictGap is that pause; 0 if not known.
	StrictGaps float64
	StrictGap  time.Duration
	// Avoid is set for an engine to be chosen only if there is no other.
	Avoid  bool
	Remote bool // in another failure domain
}

// A Call is the call that an engine is chosen for.
type Call struct {
	Adapter plank.AdapterRef
	Prompt  plank.Tokens
	Output  plank.Tokens // expected
	// Parts are the parts of the prompt, in order.
	Parts []plank.PromptPart
	// MaxGap is the longest pause between events that is not late; 0 for no limit.
	MaxGap time.Duration
	// Target is the time left until the first token is late.
	Target time.Duration
	// Hash is that of the call for evac.Domains.HoldsBack; the same on all VMs.
	Hash uint64
	// Left is the time left until the end of the answer is of no use; 0 if not known.
	Left time.Duration
}

// TimeToFirstToken returns the expected time to the first token on an engine.
func TimeToFirstToken(e *Engine, c Call) time.Duration {
	d := e.prefillTime(e.Backlog + e.unread(c))
	d += e.atPace(time.Duration(e.Running)*runningCallCost + time.Duration(e.Queued)*queuedCallCost)
	d += time.Duration(e.FailRate * float64(failCost))
	if e.Remote {
		d += crossDomainTime
	}
	d += e.ColdWait
	if e.NoBaseModel {
		d += e.BaseLoad
	}
	if e.Running >= e.Slots || e.KVUsed+c.Prompt+c.Output > e.KVCapacity && e.Running > 0 {
		d += fullWait
	}
	if c.Adapter.Name != "" {
		d += loadTime(e)
	}
	return d
}

// unread returns how many tokens of the call's prompt the engine has to process.
func (e *Engine) unread(c Call) plank.Tokens { return max(0, c.Prompt-e.Kept) }

// prefillTime returns how long the engine takes to process n prompt tokens.
func (e *Engine) prefillTime(n plank.Tokens) time.Duration { return e.atPace(prefillDuration(n)) }

// PrefillTime returns how long the engine takes to process the call's prompt if it is idle.
func (e *Engine) PrefillTime(c Call) time.Duration { return e.prefillTime(e.unread(c)) }

// atPace returns the time of work on the engine that usually takes d.
func (e *Engine) atPace(d time.Duration) time.Duration {
	if e.Pace > 0 {
		return time.Duration(e.Pace * float64(d))
	}
	return d
}

// loadTime returns the expected wait until the call's adapter is resident in its
// newest version.
func loadTime(e *Engine) time.Duration {
	switch {
	case e.Resident && !e.Stale:
		return 0
	case e.Resident && e.InUse:
		return staleWait + storeLoadTime
	case e.Resident:
		return storeLoadTime
	case e.Loading:
		return storeLoadTime / 2
	}
	d := storeLoadTime
	if e.RecentlyResident {
		d = recentLoadTime
	}
	return d + slotWait(e)
}

// slotWait returns how long a call waits for an adapter slot, behind the adapters
// that wait already.
func slotWait(e *Engine) time.Duration {
	free := e.AdapterSlots - e.TakenAdapterSlots
	position := e.WaitingAdapters + 1
	switch {
	case position <= free:
		return 0
	case position <= free+e.IdleAdapterSlots:
		return unloadTime
	}
	return time.Duration(position-free-e.IdleAdapterSlots) * slotHoldTime / time.Duration(max(1, e.AdapterSlots))
}

// Cost returns the cost of sending the call to an engine, which is to be minimized,
// and the expected time to the first token, which is the main part of it.
func Cost(e *Engine, c Call) (cost, ttft time.Duration) {
	ttft = TimeToFirstToken(e, c)
	cost = ttft
	if late := ttft - time.Duration(slackFraction*float64(c.Target)); late > 0 {
		cost += lateFactor * late
	}
	cost += time.Duration(interferenceWeight * float64(min(e.Running, maxInterference)) * float64(e.prefillTime(e.unread(c))))
	decode := decodeTime(e, c)
	if e.learnsGaps() {
		cost += e.deadlineCost(c, ttft+decode)
		// The pace of the output itself does not matter to its caller: slow engines that
		// read no prompts suit outputs well.
		decode = time.Duration(float64(decode) / e.Pace)
	}
	cost += time.Duration(decodeWeight * float64(decode))
	cost += e.gapCost(c)
	if c.Adapter.Name != "" && e.loadsFromStore() {
		cost += storeLoadCost
	}
	if e.Remote {
		cost += time.Duration((promptBytesPerToken*float64(c.Prompt) + outputBytesPerToken*float64(c.Output)) * float64(crossDomainByteCost))
	}
	return cost, ttft
}

// loadsFromStore reports whether the engine would load the adapter from the weight
// store.
func (e *Engine) loadsFromStore() bool {
	if e.Resident {
		return e.Stale // an old version does not spare the load of the new one
	}
	return !e.Loading && !e.RecentlyResident
}

// decodeTime returns the expected decoding time of the call: a step that also
// processes a chunk of a prompt takes many times as long as one that does not.
func decodeTime(e *Engine, c Call) time.Duration {
	busy := e.prefillBusy()
	perMs := busy/prefillStepMs + (1-busy)/decodeStepMs
	return e.atPace(time.Duration(float64(c.Output) / perMs * float64(time.Millisecond)))
}

// prefillBusy returns the fraction of the engine's time in which it processes prompts.
func (e *Engine) prefillBusy() float64 {
	busy := e.PrefillRate / (1000 * prefillTokensPerMs)
	if e.Pace > 0 {
		busy *= e.Pace
	}
	return min(1, busy)
}

// rank returns the rendezvous hash of an engine for a name, from 0 to 1.
func rank(name string, id plank.EndpointID) float64 {
	return float64(xxhash.Sum64String(name+"\x00"+string(id))>>11) / (1 << 53)
}

// PrefillTime returns how long an idle engine takes to process a prompt of which
// no prefix is cached.
func PrefillTime(prompt plank.Tokens) time.Duration { return prefillDuration(prompt) }

func prefillDuration(n plank.Tokens) time.Duration {
	return time.Duration(float64(n) / prefillTokensPerMs * float64(time.Millisecond))
}

// A rankedEngine is the index of an engine with its rank.
type rankedEngine struct {
	index int
	rank  float64
}

// preferredEngines returns the preferred engines of an adapter, the highest rank
// first. Entries without an engine have index -1.
func preferredEngines(engines []Engine, ref plank.AdapterRef) [preferredCount]rankedEngine {
	var preferred [preferredCount]rankedEngine
	for i := range preferred {
		preferred[i].index = -1
	}
	name := ref.String()
	for i := range engines {
		h := rankedEngine{index: i, rank: rank(name, engines[i].Instance.ID)}
		for k := range preferred {
			if preferred[k].index < 0 || h.rank > preferred[k].rank {
				h, preferred[k] = preferred[k], h
			}
		}
	}
	return preferred
}

// preferenceBonus returns the deduction from the cost of engine i if it would load
// the adapter from the weight store.
func preferenceBonus(preferred *[preferredCount]rankedEngine, i int) time.Duration {
	for k := range preferred {
		if preferred[k].index == i {
			return preferredBonus * time.Duration(preferredCount-k) / preferredCount
		}
	}
	return 0
}

// BestEngine returns the index of the engine with the least cost, and the expected
// time to the first token there; the index is -1 if there is none. Engines with
// Avoid set are chosen only if there are no others, those in skip never.
func BestEngine(engines []Engine, c Call, skip func(plank.EndpointID) bool) (int, time.Duration) {
	best := -1
	var least, expected time.Duration
	var preferred [preferredCount]rankedEngine
	if c.Adapter.Name != "" {
		preferred = preferredEngines(engines, c.Adapter)
	}
	for i := range engines {
		e := &engines[i]
		if skip(e.Instance.ID) || best >= 0 && e.Avoid && !engines[best].Avoid {
			continue
		}
		cost, ttft := Cost(e, c)
		if c.Adapter.Name != "" && e.loadsFromStore() {
			cost -= preferenceBonus(&preferred, i)
		}
		if best < 0 || cost < least || engines[best].Avoid && !e.Avoid {
			best, least, expected = i, cost, ttft
		}
	}
	return best, expected
}
