// Command knapweedplank is both the daemon that runs on every entry VM and the
// command-line tool for operators.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"
)

// Exit codes.
const (
	exitFailure    = 1 // the command failed
	exitUsage      = 2 // arguments, settings or a note are invalid
	exitConflict   = 3 // a note conflicts with an accepted one
	exitNotInForce = 4 // a note is not in force yet
)

// version is the program's version.
const version = "0.1.0"

// A cli holds the commands and their flags.
type cli struct {
	Serve    serveCmd         `cmd:"" help:"Run the daemon of an entry VM."`
	Entry    entryCmd         `cmd:"" help:"Run the daemon on the users' platform."`
	Explain  explainCmd       `cmd:"" help:"Tell from logs what became of a request."`
	Note     noteCmd          `cmd:"" help:"Check, apply and follow release notes."`
	Settings settingsCmd      `cmd:"" help:"Check settings, or print an example."`
	Key      keyCmd           `cmd:"" help:"Make a caller's key and its hash for a release note."`
	Dev      devCmd           `cmd:"" help:"Run a daemon with stand-ins in one process, to try things out."`
	Version  kong.VersionFlag `help:"Print the version."`
}

// An exitError ends the program with the given exit code.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }
func (e *exitError) Unwrap() error { return e.err }

func main() {
	var c cli
	parser := kong.Must(&c,
		kong.Name("knapweedplank"),
		kong.Description("Serves very many LoRA adapters from one shared fleet."),
		kong.UsageOnError(),
		kong.Vars{"version": version},
	)
	ctx, err := parser.Parse(os.Args[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, "knapweedplank:", err)
		os.Exit(exitUsage)
	}
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitCode(err))
	}
}
