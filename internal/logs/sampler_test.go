package logs_test

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
	"knapweedplank.org/plank/internal/logs"
)

// TestBurstIsSampled checks that a burst of lines with one message is limited,
// that a line with another message is written, and that the written and left-out
// lines do not add up to more than the burst.
func TestBurstIsSampled(t *testing.T) {
	var out bytes.Buffer
	log := logrus.New()
	log.SetOutput(&out)
	log.SetFormatter(logs.NewSampler(&logrus.JSONFormatter{}))
	const burst = 5000
	for range burst {
		log.WithField("request", "r").Info("front: finished")
	}
	log.Info("node: stopping")
	lines := bytes.Count(out.Bytes(), []byte("\n"))
	assert.Assert(t, lines < burst/4, "%d lines", lines)
	assert.Assert(t, bytes.Contains(out.Bytes(), []byte("node: stopping")))
	counted := 0
	for {
		line, err := out.ReadBytes('\n')
		if err != nil {
			break
		}
		var fields struct {
			Msg     string `json:"msg"`
			LeftOut int    `json:"left_out"`
		}
		assert.NilError(t, json.Unmarshal(line, &fields))
		if fields.Msg == "front: finished" {
			counted += 1 + fields.LeftOut
		}
	}
	assert.Assert(t, counted <= burst)
}
