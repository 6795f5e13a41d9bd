// Package wire defines the messages between the system's own processes. The
// generated code is committed; DEVELOPERS.md describes how to generate it again.
package wire

//go:generate protoc --go_out=. --go_opt=paths=source_relative wire.proto
