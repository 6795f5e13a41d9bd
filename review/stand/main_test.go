//go:build review

// Package stand plays the cases of the review. Each case starts daemons of the entry role
// as separate processes, with stand-ins of the platform's store, the endpoints and the
// callers around them, and judges one rule by what these have seen.
//
// It exits with 0 if the rule held, with 1 if it was broken, and with 2 if the case could
// not run. With TROUBLE=0 in the environment it leaves the disruption out.
package stand

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"testing"
	"time"
)

// The exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// A scenario plays one case and returns the violations of its rule.
type scenario func(r *run) ([]string, error)

var scenarios = map[string]scenario{
	"versions":  playVersions,
	"half-left": playHalfLeft,
	"crashing":  playCrashing,
	"removed":   playRemoved,
	"outage":    playOldOutage,
}

// A run is one play of a case.
type run struct {
	*record
	trouble bool
	// killOnly leaves out the store's outage, in the case that has two disruptions.
	killOnly bool
	daemon   string // path of the daemon's program
}

// TestMain plays the case that is named on the command line. The program is built with
// go test -c, so that neither CI nor the default test run builds or plays the cases.
func TestMain(*testing.M) { os.Exit(play()) }

func play() int {
	daemon := flag.String("daemon", "target/knapweedplank", "program of the daemon")
	recordPath := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	s, ok := scenarios[flag.Arg(0)]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", flag.Arg(0))
		return exitFailed
	}
	rec, err := newRecord(*recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	r := &run{record: rec, trouble: os.Getenv("TROUBLE") != "0", killOnly: os.Getenv("TROUBLE") == "kill", daemon: *daemon}
	r.logf("case %s, trouble %v", flag.Arg(0), r.trouble)
	violations, err := s(r)
	code := exitHeld
	switch {
	case err != nil:
		r.logf("the case could not run: %v", err)
		code = exitFailed
	case len(violations) > 0:
		for _, v := range violations {
			r.logf("BROKEN: %s", v)
		}
		code = exitBroken
	}
	r.logf("exit %d: %d violations", code, len(violations))
	fmt.Printf("exit %d: %d violations\n", code, len(violations))
	if err := errors.Join(err, rec.close()); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	return code
}

// ms returns a duration in whole milliseconds, for records.
func ms(d time.Duration) int64 { return d.Milliseconds() }
