package main

import (
	"errors"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"knapweedplank.org/plank/internal/logs"
	"knapweedplank.org/plank/internal/node"
	"knapweedplank.org/plank/platform"
)

// An entryCmd runs the daemon on the users' platform, with the settings file that
// the platform writes.
type entryCmd struct {
	Settings string `env:"KNAPWEEDPLANK_NODE_FILE" required:"" placeholder:"FILE" help:"Settings file that the platform writes."`
}

// The runtime collects garbage more often as its memory approaches memoryLimitPercent of the
// process's limit. The rest is for what the runtime does not count, such as the pages of the
// program, and for what is allocated while a collection runs.
const (
	megabyte           = 1_000_000
	memoryLimitPercent = 75
)

// Run serves until SIGTERM or SIGINT, then shuts down gracefully; a second signal
// stops the process at once.
func (c *entryCmd) Run() error {
	settings, err := platform.LoadSettings(c.Settings)
	if err != nil {
		return &exitError{code: exitUsage, err: err}
	}
	debug.SetGCPercent(gcPercent)
	if settings.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(settings.MemoryMB) * megabyte * memoryLimitPercent / 100)
	}
	out := logs.NewWriter(os.Stdout)
	defer out.Close()
	log := logrus.New()
	log.SetOutput(out)
	log.SetFormatter(logs.NewSampler(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano}))
	n, err := node.New(settings, log, out.Dropped)
	if err != nil {
		return err
	}
	return waitForStop(n, c.Settings, log)
}

// waitForStop waits for a signal and shuts the daemon down gracefully. SIGHUP only
// validates the settings file: its values do not change while a process runs.
func waitForStop(n *node.Node, path string, log *logrus.Logger) error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	for sig := range signals {
		if sig != syscall.SIGHUP {
			break
		}
		if _, err := platform.LoadSettings(path); err != nil {
			log.WithError(err).Error("node: invalid settings, the current ones stay in force")
		} else {
			log.Info("node: settings read again")
		}
	}
	done := make(chan struct{})
	go func() {
		n.Shutdown()
		close(done)
	}()
	for {
		select {
		case <-done:
			return nil
		case sig := <-signals:
			if sig != syscall.SIGHUP {
				return errors.New("stopped at once by a second signal")
			}
		}
	}
}
