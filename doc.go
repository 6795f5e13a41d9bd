// Package plank defines the identifiers, units, errors and interfaces that the
// parts of knapweedplank share.
//
// The package performs no I/O. Implementations of its interfaces live in the
// packages below it: pkg/ holds what other programs may import, internal/ the
// rest.
package plank
