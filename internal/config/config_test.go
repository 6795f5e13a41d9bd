package config_test

import (
	"errors"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"knapweedplank.org/plank/internal/config"
)

func TestParseAcceptsExample(t *testing.T) {
	cfg, err := config.Parse("example", []byte(config.Example))
	assert.NilError(t, err)
	assert.Equal(t, string(cfg.VM), "entry-a-1")
}

// TestInvalidSettings checks that an error has the field of the invalid setting and
// the line of that field.
func TestInvalidSettings(t *testing.T) {
	cases := []struct{ old, new, want string }{
		{`"PlainPeers": true`, `"PlainPeers": false`, "PlainPeers"},
		{`"Router": "affin"`, `"Router": "best"`, "Policies.Router"},
		{`"VM": "entry-a-1"`, `"VM": ""`, "VM"},
		{`"Platform": "127.0.0.1:9000"`, `"Platform": "nowhere"`, "Platform"},
		{`"MaxBodyBytes": 1048576`, `"MaxBodyBytes": "big"`, "Limits.MaxBodyBytes"},
		{`"Seeds": [`, `"Seeds": ["x", `, "Seeds"},
		{`"Queue": "fair"`, `"Queu": "fair"`, "Queu"},
	}
	for _, c := range cases {
		text := strings.Replace(config.Example, c.old, c.new, 1)
		_, err := config.Parse("f.json", []byte(text))
		var e *config.Error
		assert.Assert(t, errors.As(err, &e), c.want)
		assert.Equal(t, e.Field, c.want, "%v", e)
		assert.Assert(t, e.Line > 0, "%v", e)
		line := strings.Split(text, "\n")[e.Line-1]
		assert.Assert(t, strings.Contains(line, c.new[1:5]), "line %d: %s", e.Line, line)
	}
}

// FuzzParse checks that all errors of Parse are of type *config.Error.
func FuzzParse(f *testing.F) {
	f.Add([]byte(config.Example))
	f.Add([]byte(`{"VM": 1}`))
	f.Add([]byte(`{"TLS": {"Cert": "a"}, /* */ }`))
	f.Fuzz(func(t *testing.T, text []byte) {
		_, err := config.Parse("f", text)
		var e *config.Error
		if err != nil && !errors.As(err, &e) {
			t.Fatalf("error is not a *config.Error: %v", err)
		}
	})
}
