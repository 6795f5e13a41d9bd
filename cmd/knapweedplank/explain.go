package main

import (
	"os"

	"github.com/rotisserie/eris"
	"knapweedplank.org/plank/internal/story"
)

// An explainCmd tells what became of a request.
type explainCmd struct {
	Log     []string `required:"" placeholder:"FILE" help:"Logs of daemons; may be given more than once."`
	Request string   `arg:"" help:"The request's id."`
}

// Run prints the request's story. A request that no log names is a failure.
func (c *explainCmd) Run() error {
	s := story.New(c.Request)
	for _, path := range c.Log {
		if err := readLog(s, path); err != nil {
			return err
		}
	}
	if len(s.Lines) == 0 {
		return eris.Errorf("no log line is about the request %s", c.Request)
	}
	return s.Write(os.Stdout)
}

func readLog(s *story.Timeline, path string) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	defer f.Close()
	return eris.Wrap(s.Read(f), path)
}
