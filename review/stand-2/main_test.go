//go:build review

// Package stand plays the cases of the second review. It starts the daemons of the deploy
// file as processes on loopback addresses, with stand-ins of the platform's store, of workers
// and of clients around them, brings about one disruption, and judges by what clients and
// workers have seen. review/build-2.sh builds it as a program; it has no tests.
package stand

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxTime bounds a case.
const maxTime = 115 * time.Second

// A play is one run of a case.
type play struct {
	*site
	// trouble is set unless the case is played without its disruption.
	trouble bool
}

// A verdict says whether the rule was broken, and why.
type verdict struct {
	broken bool
	reason string
}

// cases maps the names of the cases to their functions.
var cases = map[string]func(*play) (verdict, error){
	"lookup":     playLookup,
	"spoiled":    playSpoiled,
	"pipelined":  playPipelined,
	"crowd":      playCrowd,
	"store-move": playStoreMove,
}

var errUsage = errors.New("usage: stand-2 CASE RECORD, in the repository's root")

// TestMain plays the case that the arguments name instead of tests.
func TestMain(*testing.M) {
	code, err := run(os.Args[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
	}
	os.Exit(code)
}

// run plays the case that the arguments name and returns the exit code.
func run(args []string) (int, error) {
	if len(args) != 2 || cases[args[0]] == nil {
		return exitNotRun, errUsage
	}
	rec := newRecord()
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return exitNotRun, err
	}
	defer os.RemoveAll(dir)
	s, err := newSite(dir, rec)
	if err != nil {
		return exitNotRun, err
	}
	defer s.stop()
	p := &play{site: s, trouble: os.Getenv("TROUBLE") != "0"}
	rec.note("case %s, disruption: %t", args[0], p.trouble)
	type outcome struct {
		verdict
		err error
	}
	done := make(chan outcome, 1)
	go func() {
		v, err := cases[args[0]](p)
		done <- outcome{v, err}
	}()
	var o outcome
	select {
	case o = <-done:
	case <-time.After(maxTime):
		o.err = errors.New("the case took too long")
	}
	code := exitHeld
	switch {
	case o.err != nil:
		code = exitNotRun
		rec.note("not run: %v", o.err)
	case o.broken:
		code = exitBroken
		rec.note("BROKEN: %s", o.reason)
	default:
		rec.note("held: %s", o.reason)
	}
	fmt.Println(rec.last())
	if err := rec.write(filepath.Clean(args[1])); err != nil {
		return exitNotRun, err
	}
	return code, o.err
}
