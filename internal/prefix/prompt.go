// Package prefix tracks which parts of prompts an engine keeps in its memory, so that calls go
// where most of their prompt need not be processed again. It performs no I/O.
//
// It is designed for prompts that share long beginnings: on two observed fleets two thirds of a
// long prompt (6,300 of 9,190 tokens) were shared parts, and a choice without this knowledge
// found about half of the shared tokens kept that some engine had processed before.
//
// An engine does not process a part again if it keeps that part for the same version of the
// adapter and keeps all parts before it. What a Directory holds is an estimate: a wrong one costs
// time, never correctness.
package prefix

import (
	"encoding/binary"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
	"knapweedplank.org/plank"
)

// MaxParts is the number of parts of one prompt that are considered.
const MaxParts = 32

// A Prompt is the prompt of a call with hashed parts, for lookups at many engines. A nil Prompt
// has no parts.
type Prompt struct {
	adapter uint64 // hash
	parts   []part
}

// A part is a part of a prompt. Its key is a hash of the adapter, the ID and the length: parts
// with the same ID and different lengths are different parts.
type part struct {
	key    uint64
	tokens plank.Tokens // above 0, finite
	shared bool         // it is not the last one
}

// NewPrompt returns the prompt of a call for an adapter. It ignores empty parts and repeated
// ones, and cuts the list before an invalid length, before the part that exceeds the length of the
// prompt and after MaxParts.
func NewPrompt(ref plank.AdapterRef, length plank.Tokens, parts []plank.PromptPart) *Prompt {
	buf := append([]byte(ref.String()), 0)
	p := &Prompt{adapter: xxhash.Sum64(buf), parts: make([]part, 0, min(len(parts), MaxParts))}
	n := len(buf)
	for i, in := range parts[:min(len(parts), MaxParts)] {
		if !(in.Tokens >= 0 && in.Tokens <= length) {
			break // also if either is not a number
		}
		length -= in.Tokens
		buf = append(append(buf[:n], in.ID...), 0)
		buf = binary.LittleEndian.AppendUint64(buf, math.Float64bits(float64(in.Tokens)))
		key := xxhash.Sum64(buf)
		if in.Tokens == 0 || slices.ContainsFunc(p.parts, func(o part) bool { return o.key == key }) {
			continue
		}
		p.parts = append(p.parts, part{key: key, tokens: in.Tokens, shared: i < len(parts)-1})
	}
	return p
}
