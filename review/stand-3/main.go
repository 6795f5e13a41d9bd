package main

import (
	"fmt"
	"os"
)

// cases are the subcommands.
var cases = map[string]func(rec *record, trouble bool) (broken bool, err error){
	"late-order": runLateOrder,
	"late-ready": runLateReady,
	"options":    runOptions,
	"poison":     runPoison,
}

// main runs the case named by the first argument and writes its record to the file named by the
// second. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand-3 CASE RECORD")
		os.Exit(2)
	}
	rec := &record{}
	broken, err := cases[os.Args[1]](rec, os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.addf("the case could not run: %v", err)
	}
	if werr := rec.write(os.Args[2]); werr != nil {
		fmt.Fprintln(os.Stderr, werr)
		os.Exit(2)
	}
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	case broken:
		os.Exit(1)
	}
}
