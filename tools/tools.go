// Package tools pins the linters and generators that the project uses; see the
// tool lines of its go.mod.
package tools
