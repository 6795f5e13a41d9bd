package limit_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed for the property tests, so that runs are reproducible.
// The environment variable RAPID_SEED overrides it.
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
