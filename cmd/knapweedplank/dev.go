package main

import (
	"fmt"
	"os"

	"knapweedplank.org/plank/internal/config"
	"knapweedplank.org/plank/internal/dev"
	"knapweedplank.org/plank/internal/logs"
)

// A devCmd runs a daemon with simulated engines and services in one process.
type devCmd struct {
	Listen string `default:"127.0.0.1:8080" help:"Address for callers."`
	Level  string `default:"info" help:"Log level." enum:"debug,info,warn,error"`
}

// Run serves the sample configuration until SIGTERM or SIGINT.
func (c *devCmd) Run() error {
	d, err := dev.Start(c.Listen, logs.New(config.Logs{Format: "Text", Level: c.Level}, os.Stderr))
	if err != nil {
		return err
	}
	fmt.Printf(`knapweedplank serves the sample note with two stand-in engines. Try:

  curl -N http://%[1]s/v1/completions -H 'Authorization: Bearer %[2]s' \
    -H 'Content-Type: application/json' \
    -d '{"model": "%[3]s", "prompt": "How many bulbs on 30 m?", "max_tokens": 12, "stream": true}'

  curl http://%[1]s/bookings/ -H 'Authorization: Bearer %[2]s' -H 'Idempotency-Key: wedding-1' \
    -d '{"Booking": "wedding"}'

Metrics and status: http://%[4]s/metrics and /status. Stop with Ctrl-C.
`, d.CallerAddr(), dev.SampleKey, dev.SampleModel(), d.AdminAddr())
	return waitAndStop(d)
}
