package experiment

import (
	"fmt"
	"image/color"
	"os"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Size of the plots, and mode of the report file.
const (
	plotWidth      = 20 * vg.Centimeter
	plotHeight     = 9 * vg.Centimeter
	reportFileMode = 0o644
)

// Report writes a Markdown page with the table and the plots into a folder, which it creates if
// needed.
func (f *StudyResult) Report(folder string) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return errors.Wrap(err, "create report folder")
	}
	var page strings.Builder
	fmt.Fprintf(&page, "# Bench: %s\n\n%s\n", f.Deployment, f.Table())
	for _, scenario := range f.scenarios() {
		name := f.Deployment + "-" + scenario + ".svg"
		if err := f.plotTimeline(scenario, filepath.Join(folder, name)); err != nil {
			return err
		}
		conditions, err := FindScenario(scenario)
		if err != nil {
			return err
		}
		fmt.Fprintf(&page, "## %s\n\nThe scenario: %s.\n\n![95th percentile of the time to first token, by second](%s)\n\n", scenario, conditions.Description, name)
	}
	path := filepath.Join(folder, f.Deployment+".md")
	return errors.Wrap(os.WriteFile(path, []byte(page.String()), reportFileMode), "write report")
}

func (f *StudyResult) scenarios() []string {
	var names []string
	for _, row := range f.Rows {
		if len(names) == 0 || names[len(names)-1] != row.Scenario {
			names = append(names, row.Scenario)
		}
	}
	return names
}

// minPlottedSeconds is the least plotted value, because a logarithmic axis cannot show zero.
const minPlottedSeconds = 0.001

// plotTimeline plots the timeline of each policy in the run of the first seed.
func (f *StudyResult) plotTimeline(scenario, path string) error {
	p := plot.New()
	p.Title.Text = f.Deployment + ", " + scenario + ": p95 time to first token by second, first seed"
	p.X.Label.Text = "time (s)"
	p.Y.Label.Text = "s"
	p.Y.Scale = plot.LogScale{}
	p.Y.Tick.Marker = plot.LogTicks{Prec: -1}
	p.BackgroundColor = color.White
	p.Legend.Top = true
	p.Legend.Left = true
	for i, row := range f.rowsForScenario(scenario) {
		line, err := plotter.NewLine(points(row.Mean.Timeline))
		if err != nil {
			return errors.Wrap(err, "create line")
		}
		line.Color = plotutil.Color(i)
		line.Width = vg.Points(1.2)
		p.Add(line)
		p.Legend.Add(row.Policy, line)
	}
	return errors.Wrap(p.Save(plotWidth, plotHeight, path), "save plot")
}

func (f *StudyResult) rowsForScenario(scenario string) []*Row {
	var rows []*Row
	for _, row := range f.Rows {
		if row.Scenario == scenario {
			rows = append(rows, row)
		}
	}
	return rows
}

func points(timeline []float64) plotter.XYs {
	var out plotter.XYs
	for second, value := range timeline {
		if value >= 0 {
			out = append(out, plotter.XY{X: float64(second), Y: max(value, minPlottedSeconds)})
		}
	}
	return out
}
