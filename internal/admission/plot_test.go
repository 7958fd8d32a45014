package admission

import (
	"flag"
	"testing"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gotest.tools/v3/assert"
)

var plotFile = flag.String("plot", "", "file for the plot of TestPlotGoodput, which is skipped without it")

// TestPlotGoodput plots the goodput of the rules beside what saturated engines serve, at several
// times the capacity with everything at once. docs/BENCH.md shows the result.
func TestPlotGoodput(t *testing.T) {
	if *plotFile == "" {
		t.Skip("no -plot")
	}
	const engines = 16
	s := scenarios[len(scenarios)-1]
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text, p.Y.Min = "demand / capacity", "goodput / capacity left", 0
	rules := []struct {
		name string
		make func() rule
	}{{"queue", func() rule { return newQueued() }}, {"refusal beyond the patience", func() rule { return today{} }}, {"first come first served", func() rule { return &firstCome{} }}}
	add := func(i int, name string, value func(load float64) float64) {
		var points plotter.XYs
		for _, load := range loads {
			points = append(points, plotter.XY{X: load, Y: value(load)})
		}
		line, err := plotter.NewLine(points)
		assert.NilError(t, err)
		line.Color, line.Width = plotutil.Color(i), vg.Points(2)
		p.Add(line)
		p.Legend.Add(name, line)
	}
	for i, r := range rules {
		add(i, r.name, func(load float64) float64 { return simulate(s, engines, load, r.make(), 0).goodput })
	}
	add(len(rules), "saturated engines", func(load float64) float64 { return saturated(shareOfInteractive(s, load)) })
	assert.NilError(t, p.Save(20*vg.Centimeter, 9*vg.Centimeter, *plotFile))
}
