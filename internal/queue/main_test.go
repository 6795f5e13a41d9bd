package queue_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests, so that each run has the same
// result. The environment variable RAPID_SEED sets another one.
func TestMain(m *testing.M) {
	seed := os.Getenv("RAPID_SEED")
	if seed == "" {
		seed = "20261204"
	}
	for name, value := range map[string]string{"rapid.seed": seed, "rapid.checks": "1000", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
