// Package logs defines how the programs write logs.
package logs

import (
	"io"

	"github.com/sirupsen/logrus"
	"knapweedplank.org/plank/internal/config"
)

// New returns a logger as the checked settings say.
func New(cfg config.Logs, w io.Writer) *logrus.Logger {
	log := logrus.New()
	log.SetOutput(w)
	level, err := logrus.ParseLevel(cfg.Level)
	if err != nil {
		level = logrus.InfoLevel
	}
	log.SetLevel(level)
	if cfg.Format == "JSON" {
		log.SetFormatter(&logrus.JSONFormatter{})
	} else {
		log.SetFormatter(&logrus.TextFormatter{FullTimestamp: true, DisableColors: true})
	}
	return log
}
