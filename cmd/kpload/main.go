// Command kpload runs load experiments on a fleet of daemons and simulated systems
// in one process. It reports latencies, batch sizes and how requests ended.
package main

import (
	"fmt"
	"os"
	"strings"

	"github.com/alecthomas/kong"
	"knapweedplank.org/plank/internal/bench"
)

// A cli holds the commands and their flags.
type cli struct {
	Run  runCmd  `cmd:"" help:"Run an experiment with each of its policies and print one table."`
	Plot plotCmd `cmd:"" help:"Draw results over time."`
}

type plotCmd struct {
	Files  []string `arg:"" help:"Results in JSON, as run wrote them."`
	Format string   `default:"svg" enum:"svg,png" help:"Format of the plots."`
}

// Run writes a plot next to each file.
func (c *plotCmd) Run() error {
	for _, path := range c.Files {
		results, err := bench.ReadResults(path)
		if err != nil {
			return err
		}
		if err := bench.PlotServed(results, strings.TrimSuffix(path, ".json")+"."+c.Format); err != nil {
			return err
		}
	}
	return nil
}

type runCmd struct {
	Files []string `arg:"" help:"Experiment files, JSON with comments."`
	Out   string   `default:"out" help:"Directory for results in JSON."`
	Seed  uint64   `help:"Replaces the experiments' seed."`
}

// Run runs the experiments in order, prints a table for each, and writes its
// results as JSON.
func (c *runCmd) Run() error {
	for _, path := range c.Files {
		exp, err := bench.ReadExperiment(path)
		if err != nil {
			return err
		}
		if c.Seed != 0 {
			exp.Seed = c.Seed
		}
		results, err := bench.Run(exp, os.Stderr)
		if err != nil {
			return err
		}
		fmt.Printf("experiment %s, seed %d, %.0f s measured, %d requests\n\n", exp.Name, exp.Seed, exp.MeasureSec, results[0].Requests)
		bench.WriteTable(os.Stdout, results)
		fmt.Println()
		if err := bench.WriteJSON(c.Out, exp, results); err != nil {
			return err
		}
	}
	return nil
}

func main() {
	var c cli
	ctx := kong.Parse(&c, kong.Name("kpload"), kong.Description("Load experiments on a fleet with stand-ins."))
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "kpload:", err)
		os.Exit(1)
	}
}
