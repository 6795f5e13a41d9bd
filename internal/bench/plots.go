package bench

import (
	"encoding/json"
	"os"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// The dimensions of plots.
const (
	plotWidth  = 22 * vg.Centimeter
	plotHeight = 11 * vg.Centimeter
	// smoothSeconds is the window of the moving average in seconds.
	smoothSeconds = 5
)

// ReadResults reads results from a file written by WriteJSON.
func ReadResults(path string) ([]Result, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "read results")
	}
	var results []Result
	return results, eris.Wrapf(json.Unmarshal(data, &results), "read results %s", path)
}

// PlotServed plots, for each policy set, the fraction of the requests within their
// rate that were served, over time. The extension of path, such as .svg, selects
// the format.
func PlotServed(results []Result, path string) error {
	p := plot.New()
	p.Title.Text = results[0].Experiment + ": served within patience"
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "share of requests inside their rate"
	p.Y.Min, p.Y.Max = 0, 1.02
	p.Legend.Left = true
	var lines []any
	for _, r := range results {
		lines = append(lines, r.Policy, smooth(r.Served))
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return eris.Wrap(err, "draw")
	}
	return eris.Wrap(p.Save(plotWidth, plotHeight, path), "write plot")
}

// smooth returns the moving average of a series with one value per second.
func smooth(values []float64) plotter.XYs {
	points := make(plotter.XYs, len(values))
	for i := range values {
		from := max(0, i-smoothSeconds+1)
		sum := 0.0
		for _, v := range values[from : i+1] {
			sum += v
		}
		points[i] = plotter.XY{X: float64(i), Y: sum / float64(i+1-from)}
	}
	return points
}
