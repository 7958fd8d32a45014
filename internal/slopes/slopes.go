// Package slopes measures what each part of the control plane costs against the
// sizes that drive it, fits a line to each series, and reckons the cost at the
// target size. docs/CAPACITY.md shows the table that it writes.
package slopes

import (
	"fmt"
	"image/color"
	"os"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Point is one measurement.
type Point struct{ X, Y float64 }

// Series is one cost against one size.
type Series struct {
	Name string
	// Size and Unit name what X and Y are.
	Size string
	Unit string
	// Target is the size at the two-year target.
	Target float64
	Points []Point
}

// Fit is the line through a series by least squares.
type Fit struct {
	Intercept float64
	Slope     float64
	// R2 is the share of the variance that the line explains.
	R2 float64
	// Worst is the largest distance of a point from the line, as a share of the
	// point.
	Worst float64
	// AtTarget is the line's value at the target.
	AtTarget float64
}

// Fit fits a line.
func (s *Series) Fit() Fit {
	xs, ys := make([]float64, len(s.Points)), make([]float64, len(s.Points))
	for i, p := range s.Points {
		xs[i], ys[i] = p.X, p.Y
	}
	intercept, slope := stat.LinearRegression(xs, ys, nil, false)
	fit := Fit{Intercept: intercept, Slope: slope, R2: stat.RSquared(xs, ys, nil, intercept, slope), AtTarget: intercept + slope*s.Target}
	for _, p := range s.Points {
		if p.Y != 0 {
			fit.Worst = max(fit.Worst, abs(p.Y-intercept-slope*p.X)/abs(p.Y))
		}
	}
	return fit
}

func abs(x float64) float64 { return max(x, -x) }

// Table returns the series as a Markdown table.
func Table(all []*Series) string {
	var out strings.Builder
	out.WriteString("| cost | against | measured (size: cost) | slope | at zero | R² | worst point off by | at the target |\n")
	out.WriteString("| --- | --- | --- | ---: | ---: | ---: | ---: | ---: |\n")
	for _, s := range all {
		var points []string
		for _, p := range s.Points {
			points = append(points, fmt.Sprintf("%.4g: %.4g", p.X, p.Y))
		}
		fit := s.Fit()
		fmt.Fprintf(&out, "| %s, %s | %s | %s | %.4g | %.4g | %.3f | %.0f%% | %.4g at %.4g |\n", s.Name, s.Unit, s.Size,
			strings.Join(points, "; "), fit.Slope, fit.Intercept, fit.R2, 100*fit.Worst, fit.AtTarget, s.Target)
	}
	return out.String()
}

// Sizes of plots.
const (
	plotWidth  = 12 * vg.Centimeter
	plotHeight = 8 * vg.Centimeter
)

// Report writes the table and a plot of each series into a folder.
func Report(folder string, all []*Series) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return errors.Wrap(err, "create report folder")
	}
	var page strings.Builder
	page.WriteString("# Slopes\n\nMade by `rehearse slopes`. The line is by least squares.\n\n" + Table(all) + "\n")
	for i, s := range all {
		name := fmt.Sprintf("slope-%02d.svg", i+1)
		if err := s.plot(filepath.Join(folder, name)); err != nil {
			return err
		}
		fmt.Fprintf(&page, "![%s](%s)\n", s.Name, name)
	}
	return errors.Wrap(os.WriteFile(filepath.Join(folder, "slopes.md"), []byte(page.String()), 0o644), "write report")
}

func (s *Series) plot(path string) error {
	p := plot.New()
	p.Title.Text = s.Name
	p.X.Label.Text = s.Size
	p.Y.Label.Text = s.Unit
	p.BackgroundColor = color.White
	points := make(plotter.XYs, len(s.Points))
	for i, point := range s.Points {
		points[i] = plotter.XY{X: point.X, Y: point.Y}
	}
	scatter, err := plotter.NewScatter(points)
	if err != nil {
		return errors.Wrap(err, "make points")
	}
	fit := s.Fit()
	line := plotter.NewFunction(func(x float64) float64 { return fit.Intercept + fit.Slope*x })
	line.XMin, line.XMax = 0, points[len(points)-1].X
	p.Add(scatter, line)
	return errors.Wrap(p.Save(plotWidth, plotHeight, path), "save plot")
}
