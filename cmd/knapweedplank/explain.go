package main

import (
	"os"

	"github.com/rotisserie/eris"
	"knapweedplank.org/plank/internal/trace"
)

// An explainCmd prints how one request was processed, from daemons' logs.
type explainCmd struct {
	Log     []string `required:"" placeholder:"FILE" help:"Logs of daemons; may be given more than once."`
	Request string   `arg:"" help:"The request's id."`
}

// Run prints the log lines about the request, grouped by daemon. It fails if there
// are none.
func (c *explainCmd) Run() error {
	t := trace.New(c.Request)
	for _, path := range c.Log {
		if err := readLog(t, path); err != nil {
			return err
		}
	}
	if len(t.Lines) == 0 {
		return eris.Errorf("no log line is about the request %s", c.Request)
	}
	return t.Write(os.Stdout)
}

func readLog(t *trace.Timeline, path string) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	defer f.Close()
	return eris.Wrap(t.Read(f), path)
}
