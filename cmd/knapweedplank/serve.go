package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"knapweedplank.org/plank/internal/config"
	"knapweedplank.org/plank/internal/daemon"
	"knapweedplank.org/plank/internal/logs"
	"knapweedplank.org/plank/pkg/notes"
)

// A serveCmd runs the daemon of an entry VM with a settings file in JSON.
type serveCmd struct {
	Settings string `required:"" placeholder:"FILE" help:"Settings file, JSON with comments."`
}

// gcPercent is the heap growth in percent that starts a garbage collection.
const gcPercent = 100

// Run serves until SIGTERM or SIGINT, then shuts down gracefully; a second signal
// stops the process at once.
func (c *serveCmd) Run() error {
	cfg, err := config.Load(c.Settings)
	if err != nil {
		return err
	}
	// The heap is small and consists mostly of the catalog. Collecting twice as
	// often as by default limits the memory use at a low CPU cost.
	debug.SetGCPercent(gcPercent)
	d, err := daemon.New(cfg, logs.New(cfg.Logs, os.Stderr), daemon.Hooks{})
	var setting *config.Error
	if errors.As(err, &setting) {
		return setting.InFile(c.Settings)
	}
	if err != nil {
		return err
	}
	return waitAndStop(d)
}

// waitAndStop waits for a signal and shuts the daemon down gracefully. It returns
// early if a second signal arrives.
func waitAndStop(d *daemon.Daemon) error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	done := make(chan error, 1)
	go func() { done <- d.Shutdown() }()
	select {
	case err := <-done:
		return err
	case <-signals:
		return errors.New("stopped at once by a second signal")
	}
}

// exitCode returns the exit code for the error of a command.
func exitCode(err error) int {
	var exit *exitError
	var setting *config.Error
	var invalid *notes.InvalidError
	var changed *notes.ChangedError
	var reused *notes.ReusedError
	switch {
	case errors.As(err, &exit):
		return exit.code
	case errors.As(err, &setting), errors.As(err, &invalid):
		return exitUsage
	case errors.As(err, &changed), errors.As(err, &reused):
		return exitConflict
	}
	return exitFailure
}

// A settingsCmd groups the commands for settings.
type settingsCmd struct {
	Check   settingsCheckCmd   `cmd:"" help:"Check a settings file."`
	Example settingsExampleCmd `cmd:"" help:"Print an example with every field explained."`
}

type settingsCheckCmd struct {
	File string `arg:"" help:"Settings file."`
}

// Run checks the settings file.
func (c *settingsCheckCmd) Run() error {
	if _, err := config.Load(c.File); err != nil {
		return err
	}
	fmt.Println("settings are fine")
	return nil
}

type settingsExampleCmd struct{}

// Run prints an example of a settings file.
func (c *settingsExampleCmd) Run() error {
	fmt.Print(config.Example)
	return nil
}
