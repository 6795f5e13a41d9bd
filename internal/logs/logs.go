// Package logs defines the loggers of the programs, which limit the rate of lines
// and never block on a slow reader.
package logs

import (
	"io"

	"github.com/sirupsen/logrus"
	"knapweedplank.org/plank/internal/config"
)

// New returns a logger with the level and format of the settings. An invalid
// level is treated as info.
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
