package policy

import (
	"image/color"
	"os"
	"path/filepath"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 8 * vg.Inch
	plotHeight = 5 * vg.Inch
	barWidth   = 18 // points
)

// Plot writes the distribution of the time to the first token and a bar chart for each
// measure as SVG files into a folder.
func (m Measurement) Plot(folder, name string) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return errors.Wrap(err, "plot")
	}
	if err := m.plotDistribution(filepath.Join(folder, name+"-first-token.svg")); err != nil {
		return err
	}
	measures := []struct {
		file, title string
		value       func(Row) float64
	}{
		{"first-token-p99", "first token p99 of short calls, ms", func(r Row) float64 { return r.FirstTokenP99Ms }},
		{"completion-p99", "completion p99 of short calls, ms", func(r Row) float64 { return r.CompletionP99Ms }},
		{"share-away", "share sent away", func(r Row) float64 { return r.ForwardedShare }},
		{"wasted", "share of tokens wasted", func(r Row) float64 { return r.WastedTokenShare }},
		{"cost", "cost over the oracle's", func(r Row) float64 { return r.CostRatio }},
		{"not-run", "share not run", func(r Row) float64 { return r.NotRunShare }},
	}
	for _, measure := range measures {
		file := filepath.Join(folder, name+"-"+measure.file+".svg")
		if err := m.plotBars(file, measure.title, measure.value); err != nil {
			return err
		}
	}
	return nil
}

func (m Measurement) plotDistribution(file string) error {
	p := plot.New()
	p.Title.Text = "First token of short calls"
	p.X.Label.Text, p.Y.Label.Text = "ms", "share of calls"
	p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	for i, r := range m.results {
		var points plotter.XYs
		for _, bar := range r.byClass[0].first.CumulativeDistribution() {
			if bar.ValueAt > 0 {
				points = append(points, plotter.XY{X: float64(bar.ValueAt) / 1000, Y: bar.Quantile / 100})
			}
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return errors.Wrap(err, "plot")
		}
		line.Color, line.Dashes = plotutil.Color(i), plotutil.Dashes(i)
		p.Add(line)
		p.Legend.Add(m.names[i], line)
	}
	p.Legend.Left, p.Legend.Top = true, true
	return errors.Wrap(p.Save(plotWidth, plotHeight, file), "plot")
}

func (m Measurement) plotBars(file, title string, value func(Row) float64) error {
	p := plot.New()
	p.Title.Text = title
	var values plotter.Values
	var names []string
	for _, row := range m.Rows {
		if row.Class == classNames[0] {
			values, names = append(values, value(row)), append(names, row.Policy)
		}
	}
	bars, err := plotter.NewBarChart(values, vg.Points(barWidth))
	if err != nil {
		return errors.Wrap(err, "plot")
	}
	bars.Color = color.Gray{Y: 0x80}
	p.Add(bars)
	p.NominalX(names...)
	return errors.Wrap(p.Save(plotWidth, plotHeight, file), "plot")
}
