// Package wire defines the messages between the system's own processes. The
// generated code is committed; DEVELOPERS.md describes how to generate it again.
package wire

//go:generate wiregen protoc-gen-go wire.proto
