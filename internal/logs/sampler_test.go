package logs_test

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
	"knapweedplank.org/plank/internal/logs"
)

// A burst of one kind of line is cut, other kinds are written, and the next line
// tells how many were left out.
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
	told := 0
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
			told += 1 + fields.LeftOut
		}
	}
	assert.Assert(t, told <= burst)
}
