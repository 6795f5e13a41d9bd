//go:build review

package stand3_test

import (
	"fmt"
	"os"
	"testing"
)

// cases are the subcommands.
var cases = map[string]func(rec *record, trouble bool) (broken bool, err error){
	"late-order": runLateOrder,
	"late-ready": runLateReady,
	"options":    runOptions,
	"poison":     runPoison,
	"stale":      runStale,
}

// TestMain runs the case named by the first argument and writes its record to the file named by the
// second. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
func TestMain(*testing.M) {
	os.Exit(run(os.Args[1:], os.Getenv("TROUBLE") != "0"))
}

// run runs a case and returns the exit code.
func run(args []string, trouble bool) int {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand-3 CASE RECORD")
		return 2
	}
	rec := &record{}
	broken, err := cases[args[0]](rec, trouble)
	if err != nil {
		rec.addf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
	}
	if err := rec.write(args[1]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	switch {
	case err != nil:
		return 2
	case broken:
		return 1
	}
	return 0
}
