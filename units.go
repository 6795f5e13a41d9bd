package plank

// This file defines the units of limits and shares, and the numbers that order
// terms, versions and revisions.

// Tokens is a number of model tokens, of prompts or of outputs.
type Tokens float64

// TokensPerSecond is a rate of tokens.
type TokensPerSecond float64

// PPM is a share in parts per million of a whole.
type PPM int64

// WholePPM is the whole in parts per million.
const WholePPM PPM = 1_000_000

// Of returns the share p of v.
func (p PPM) Of(v float64) float64 {
	return v * float64(p) / float64(WholePPM)
}

// A Term is the number that orders fencing tokens. An order whose term is lower
// than one that the endpoint has already seen is stale.
type Term uint64

// An ObjectVersion is the version of one object in the platform's object API.
// 0 means that the object does not exist.
type ObjectVersion uint64

// A Revision orders all changes of objects in the platform's object API, also after the platform
// has lost the latest of them.
type Revision uint64
