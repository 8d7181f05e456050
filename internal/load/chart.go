package load

import (
	"image/color"
	"os"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
)

// Dimensions of the whole image.
const (
	chartWidth  = 10 * vg.Inch
	chartHeight = 7 * vg.Inch
)

// legendRoom is the ratio of the Y axis range to the highest value, which leaves
// space for the legend at the top.
const legendRoom = 1.25

// chartLine is one quantity over time.
type chartLine struct {
	name  string
	color color.RGBA
	value func(*Point) float64
	// needsAnswers leaves out points without a correct answer.
	needsAnswers bool
}

// Line colours that readers with colour blindness can distinguish.
var (
	blue   = color.RGBA{R: 0, G: 114, B: 178, A: 255}
	orange = color.RGBA{R: 230, G: 159, B: 0, A: 255}
	red    = color.RGBA{R: 213, G: 94, B: 0, A: 255}
	grey   = color.RGBA{R: 120, G: 120, B: 120, A: 255}
)

// WriteChart plots latency and outcomes over the intended send time and writes
// them to a file whose name ends in .svg or .png.
func (s *Summary) WriteChart(file string) error {
	format := strings.TrimPrefix(strings.ToLower(filepath.Ext(file)), ".")
	if format != "svg" && format != "png" {
		return errors.Newf("chart %q: wanted a name that ends in .svg or .png", file)
	}
	latency, err := s.plot("Whole answers, from the intended time", "latency (ms)", []chartLine{
		{"p50", blue, func(p *Point) float64 { return p.Whole.P50 }, true},
		{"p90", orange, func(p *Point) float64 { return p.Whole.P90 }, true},
		{"p99", red, func(p *Point) float64 { return p.Whole.P99 }, true},
	})
	if err != nil {
		return err
	}
	outcomes, err := s.plot("Outcomes", "requests/s", []chartLine{
		{"ok", blue, func(p *Point) float64 { return float64(p.OK) / p.Width }, false},
		{"refused", orange, func(p *Point) float64 { return float64(p.Refused) / p.Width }, false},
		{"faulty", red, func(p *Point) float64 { return float64(p.Faulty) / p.Width }, false},
		{"other", grey, func(p *Point) float64 { return float64(p.Other) / p.Width }, false},
	})
	if err != nil {
		return err
	}
	return writeStacked(file, format, latency, outcomes)
}

func (s *Summary) plot(title, unit string, lines []chartLine) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "time (s)"
	p.Y.Label.Text = unit
	p.Y.Min = 0
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	for _, line := range lines {
		drawn, err := plotter.NewLine(s.points(line))
		if err != nil {
			return nil, errors.Wrapf(err, "chart line %s", line.name)
		}
		drawn.Color = line.color
		p.Add(drawn)
		p.Legend.Add(line.name, drawn)
	}
	p.X.Min, p.X.Max = 0, max(1, p.X.Max)
	p.Y.Min, p.Y.Max = 0, max(1, p.Y.Max*legendRoom)
	return p, nil
}

// points returns the data points of a line. The result is never empty, because
// the plot library returns an error for a line without points.
func (s *Summary) points(line chartLine) plotter.XYs {
	var list plotter.XYs
	for i := range s.Timeline {
		point := &s.Timeline[i]
		if line.needsAnswers && point.Whole.Count == 0 {
			continue
		}
		list = append(list, plotter.XY{X: point.Seconds, Y: line.value(point)})
	}
	if list == nil {
		list = plotter.XYs{{}}
	}
	return list
}

func writeStacked(file, format string, plots ...*plot.Plot) error {
	canvas, err := draw.NewFormattedCanvas(chartWidth, chartHeight, format)
	if err != nil {
		return errors.Wrap(err, "draw chart")
	}
	grid := make([][]*plot.Plot, len(plots))
	for i, p := range plots {
		grid[i] = []*plot.Plot{p}
	}
	tiles := draw.Tiles{Rows: len(plots), Cols: 1, PadY: vg.Millimeter * 5, PadRight: vg.Millimeter * 5, PadTop: vg.Millimeter * 2}
	for i, row := range plot.Align(grid, tiles, draw.New(canvas)) {
		plots[i].Draw(row[0])
	}
	out, err := os.Create(file)
	if err != nil {
		return errors.Wrap(err, "write chart")
	}
	_, err = canvas.WriteTo(out)
	return errors.Wrap(errors.CombineErrors(err, out.Close()), "write chart")
}
