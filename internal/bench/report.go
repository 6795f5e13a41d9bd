package bench

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"
)

// WriteTable writes the results as a Markdown table.
func WriteTable(w io.Writer, results []Result) {
	fmt.Fprintln(w, "| policy | stall p50/p95/p99 ms | resident wait p95/p99 ms | batch fill | loads | worst workspace | wrongful refusals | patience met | first token p50/p95/p99 ms | between tokens p95 ms |")
	fmt.Fprintln(w, "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, r := range results {
		fmt.Fprintf(w, "| %s | %.0f / %.0f / %.0f | %.1f / %.1f | %.3f | %d | %.4f %s | %d of %d | %.4f | %.0f / %.0f / %.0f | %.1f |\n",
			r.Policy, r.LoadStall.P50, r.LoadStall.P95, r.LoadStall.P99, r.ResidentWait.P95, r.ResidentWait.P99, r.BatchFill, r.Loads,
			r.WorstWorkspace, r.Worst, r.WrongfulRefusals, r.Inside, r.PatienceMet,
			r.FirstToken.P50, r.FirstToken.P95, r.FirstToken.P99, r.BetweenTokens.P95)
	}
}

// WriteJSON writes the results of an experiment to the file NAME.json in dir, where
// NAME is the experiment's name.
func WriteJSON(dir string, exp Experiment, results []Result) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return eris.Wrap(err, "create directory")
	}
	data, err := json.MarshalIndent(results, "", "  ")
	if err != nil {
		return eris.Wrap(err, "encode results")
	}
	return eris.Wrap(os.WriteFile(filepath.Join(dir, exp.Name+".json"), data, 0o600), "write results")
}
