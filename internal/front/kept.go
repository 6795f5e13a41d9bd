package front

import (
	"knapweedplank.org/plank"
	"knapweedplank.org/plank/internal/grant"
	"knapweedplank.org/plank/internal/mesh"
	"knapweedplank.org/plank/internal/pick"
	"knapweedplank.org/plank/internal/prefix"
	"knapweedplank.org/plank/internal/wire"
)

// This file determines how much of a prompt engines keep, for their choice.

// otherHolderKept is the fraction of a prompt's shared tokens, as far as an engine held by this
// VM keeps them, that engines of other holders with the same adapter are expected to keep. On two
// observed fleets calls found 53% and 56% of the shared tokens kept that some engine had
// processed before, without a choice by them. With 0 calls would stay in the failure domain of
// their holder for more than the kept tokens are worth.
const otherHolderKept = 0.5

// learnsCost reports whether the estimates for a service's calls include what engines keep.
func (c *Chooser) learnsCost(service plank.ServiceID) bool {
	return c.LearnsCost != nil && c.LearnsCost(service)
}

// setParts adds the parts of the job's prompt and the limit of its output to a call and to the
// request for its reservation.
func (s *Server) setParts(j *job, call *pick.Call, r *grant.Request) {
	if !s.deps.Chooser.learnsCost(j.service) {
		return
	}
	call.Parts, r.Parts = j.call.PromptParts, j.call.PromptParts
	// No engine puts out more than this before the call's deadline.
	fastest := plank.Tokens(j.deadline.Sub(s.deps.Clock.Now()) / grant.FastestStep)
	r.MaxOutput = min(j.call.MaxOutputTokens, max(r.Output, fastest))
}

// setKept sets what the engines keep of the call's prompt. It leaves those at 0 that do not hold
// the call's adapter, as far as known.
func (c *Chooser) setKept(service plank.ServiceID, engines []pick.Engine, states []mesh.Engine, call pick.Call) {
	if len(call.Parts) == 0 || c.Directories == nil || !c.learnsCost(service) {
		return
	}
	held := c.Directories()
	if len(held) == 0 {
		return
	}
	prompt, name := prefix.NewPrompt(call.Adapter, call.Prompt, call.Parts), call.Adapter.String()
	var shared plank.Tokens // the most that an engine held by this VM keeps
	var others []int        // engines of other holders that have the adapter
	for i := range engines {
		if !isServed(&engines[i], states[i], call) {
			continue
		}
		d := held[engines[i].Instance.Run()]
		if d == nil {
			others = append(others, i)
			continue
		}
		est := d.Estimate(prompt, placeVersion(states[i].State, name))
		engines[i].Kept = est.Kept
		shared = max(shared, est.Shared)
	}
	if shared == 0 {
		return
	}
	for _, i := range others {
		engines[i].Kept = otherHolderKept * shared
	}
}

// placeVersion returns the version of an adapter that an engine's state lists, or 0 if it lists
// none.
func placeVersion(s *wire.EngineState, name string) plank.VersionNumber {
	for _, p := range s.Places {
		if p.Adapter == name {
			return plank.VersionNumber(p.Version)
		}
	}
	return 0
}

// isServed reports whether the engine holds the newest version of the call's adapter.
func isServed(e *pick.Engine, state mesh.Engine, call pick.Call) bool {
	return state.State != nil && (call.Adapter.Name == "" || e.Resident && !e.Stale)
}

// wireParts returns the wire messages of the parts of a prompt.
func wireParts(parts []plank.PromptPart) []*wire.PromptPart {
	var out []*wire.PromptPart
	for _, p := range parts[:min(len(parts), prefix.MaxParts)] {
		if !(p.Tokens >= 0 && p.Tokens <= maxPartTokens) {
			break
		}
		out = append(out, &wire.PromptPart{Id: string(p.ID), Tokens: uint32(p.Tokens)})
	}
	return out
}

// maxPartTokens is the largest length of a part in a message.
const maxPartTokens = 1<<32 - 1

// promptParts returns the parts in a message of a peer.
func promptParts(parts []*wire.PromptPart) []plank.PromptPart {
	var out []plank.PromptPart
	for _, p := range parts[:min(len(parts), prefix.MaxParts)] {
		out = append(out, plank.PromptPart{ID: plank.PartID(p.Id), Tokens: plank.Tokens(p.Tokens)})
	}
	return out
}
