// Command standin runs a simulation of one of the systems that knapweedplank uses:
// the platform's object API, model engines, a plain service or the weight store. It
// prints its address on the first line; engines' addresses are separated by commas.
package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kong"
	"golang.org/x/sync/errgroup"
	"knapweedplank.org/plank/internal/stand/model"
	"knapweedplank.org/plank/internal/stand/objapi"
	"knapweedplank.org/plank/internal/stand/plain"
	"knapweedplank.org/plank/internal/stand/weight"
)

// A cli holds the commands, one for each simulated system, and their flags.
type cli struct {
	Platform platformCmd `cmd:"" help:"The platform's object API."`
	Engine   engineCmd   `cmd:"" help:"A model engine."`
	Service  serviceCmd  `cmd:"" help:"A plain service."`
	Weights  weightsCmd  `cmd:"" help:"The weight store."`
}

// A listenFlag is the flag for the address to listen on.
type listenFlag struct {
	Listen string `default:"127.0.0.1:0" help:"Address to listen on."`
}

// listen opens a listener and prints its address.
func (f listenFlag) listen() (net.Listener, error) {
	ln, err := net.Listen("tcp", f.Listen)
	if err == nil {
		fmt.Println(ln.Addr())
	}
	return ln, err
}

func (f listenFlag) serve(h http.Handler) error {
	ln, err := f.listen()
	if err != nil {
		return err
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	return srv.Serve(ln)
}

type platformCmd struct{ listenFlag }

// Run serves the object API.
func (c *platformCmd) Run() error { return c.serve(objapi.New()) }

type serviceCmd struct{ listenFlag }

// Run serves a plain service.
func (c *serviceCmd) Run() error { return c.serve(plain.New()) }

type weightsCmd struct {
	listenFlag
	LoadMillis  int     `default:"250" help:"Time of one load at full speed."`
	FullSpeed   int     `default:"8" help:"Loads in flight up to which they run at full speed."`
	PerSecond   float64 `default:"2" help:"Loads a second over any long time; 0 is unlimited."`
	FailPercent int     `help:"Share of loads that fail."`
}

// Run serves the weight store.
func (c *weightsCmd) Run() error {
	return c.serve(weight.New(weight.Options{LoadMillis: c.LoadMillis, FullSpeed: c.FullSpeed, PerSecond: c.PerSecond, FailPercent: c.FailPercent}))
}

type engineCmd struct {
	listenFlag
	Slots        int           `default:"8" help:"Adapters held at once."`
	Batch        int           `default:"8" help:"Requests run at once."`
	Step         time.Duration `default:"10ms" help:"Time of one decoding step."`
	Fencing      bool          `help:"Refuse orders with an old fencing number."`
	Weights      string        `help:"Address of the weight store."`
	CrashOn      string        `help:"A prompt with this text crashes the engine."`
	RestartAfter time.Duration `default:"500ms" help:"Time from a crash until the engine is back."`
	ReportLag    time.Duration `default:"200ms" help:"Age of the load report."`
	Count        int           `default:"1" help:"Engines in this process, each with an address of its own."`
}

// Run serves Count model engines.
func (c *engineCmd) Run() error {
	opts := model.DefaultOptions()
	opts.Slots, opts.Batch, opts.Step, opts.Fencing = c.Slots, c.Batch, c.Step, c.Fencing
	opts.Weights, opts.CrashOn, opts.RestartAfter, opts.ReportLag = c.Weights, c.CrashOn, c.RestartAfter, c.ReportLag
	listeners := make([]net.Listener, c.Count)
	addrs := make([]string, c.Count)
	for i := range listeners {
		ln, err := net.Listen("tcp", c.Listen)
		if err != nil {
			return err
		}
		listeners[i], addrs[i] = ln, ln.Addr().String()
	}
	fmt.Println(strings.Join(addrs, ","))
	var g errgroup.Group
	for _, ln := range listeners {
		g.Go(func() error { return model.Serve(model.New(opts), ln) })
	}
	return g.Wait()
}

func main() {
	var c cli
	ctx := kong.Parse(&c, kong.Name("standin"), kong.Description("Stand-ins for tests and benchmarks."))
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}
