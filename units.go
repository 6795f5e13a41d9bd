package plank

// This file defines the units in which limits and shares are counted.

// Tokens counts model tokens, of prompts and of completions alike.
type Tokens float64

// TokensPerSecond is a rate of tokens.
type TokensPerSecond float64

// PPM is a share in parts per million of a whole.
type PPM int64

// WholePPM is the undivided share.
const WholePPM PPM = 1_000_000

// Of returns the part of v that the share p stands for.
func (p PPM) Of(v float64) float64 {
	return v * float64(p) / float64(WholePPM)
}

// A Term is a fencing number. An order with a lower term than one already seen
// by the endpoint is stale.
type Term uint64

// An ObjectVersion is the version of one object in the platform's object API.
// 0 means that the object does not exist.
type ObjectVersion uint64

// A Revision orders all changes of the platform's object API.
type Revision uint64
