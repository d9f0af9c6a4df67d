package lab

import (
	"bytes"
	"html/template"
	"image/color"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"capercove/internal/load"
)

const (
	chartWidth  = 9 * vg.Inch
	chartHeight = 2.6 * vg.Inch
	minTopOfBar = 0.001 // height of the bar of an event in a chart that has no values above 0
)

// lineColors can be told apart by people with impaired colour vision, too (Okabe and Ito).
var lineColors = []color.Color{
	color.RGBA{0, 114, 178, 255},
	color.RGBA{213, 94, 0, 255},
	color.RGBA{0, 158, 115, 255},
	color.RGBA{204, 121, 167, 255},
	color.RGBA{230, 159, 0, 255},
	color.RGBA{86, 180, 233, 255},
}

// chart describes a chart with a line for each class over the seconds of a run.
type chart struct {
	title, unit string
	// value returns the value of a class in a second, and false if there is none.
	value func(counts load.ClassSecond) (value float64, ok bool)
}

// charts are the charts of a report.
var charts = []chart{
	{"In time", "share of what was asked", func(counts load.ClassSecond) (float64, bool) {
		return float64(counts.InTime) / float64(max(1, counts.Requests)), counts.Requests > 0
	}},
	{"Slowest answer", "ms", func(counts load.ClassSecond) (float64, bool) {
		return float64(counts.MaxLatency) / 1000, counts.Served > 0
	}},
	{"Asked", "a second", func(counts load.ClassSecond) (float64, bool) {
		return float64(counts.Requests), true
	}},
	{"Refused and failed", "a second", func(counts load.ClassSecond) (float64, bool) {
		return float64(counts.Rejected + counts.Failed), true
	}},
}

// draw draws a chart as an SVG element, with a bar for each event.
func (run *Run) draw(described chart) (template.HTML, error) {
	drawing := plot.New()
	drawing.Title.Text = described.title
	drawing.X.Label.Text = "seconds"
	drawing.Y.Label.Text = described.unit
	drawing.Legend.Top = true
	drawing.Y.Min = 0
	for i, class := range sortedNames(run.Result.Classes) {
		points := run.points(described, class)
		if len(points) == 0 {
			continue
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return "", err
		}
		line.Color, line.Width = lineColors[i%len(lineColors)], vg.Points(1.5)
		drawing.Add(line)
		drawing.Legend.Add(class, line)
	}
	if err := run.addEventBars(drawing); err != nil {
		return "", err
	}
	canvas := vgsvg.New(chartWidth, chartHeight)
	drawing.Draw(draw.New(canvas))
	var document bytes.Buffer
	if _, err := canvas.WriteTo(&document); err != nil {
		return "", err
	}
	element := document.Bytes()
	if start := bytes.Index(element, []byte("<svg")); start > 0 { // what precedes it has no place in HTML
		element = element[start:]
	}
	return template.HTML(element), nil
}

// points returns the values of a class, by second.
func (run *Run) points(described chart, class string) (points plotter.XYs) {
	for second := range int(run.Scenario.Seconds) {
		if value, ok := described.value(run.Result.Seconds[second][class]); ok {
			points = append(points, plotter.XY{X: float64(second), Y: value})
		}
	}
	return points
}

// addEventBars adds a vertical bar for each event until the end of the load.
func (run *Run) addEventBars(drawing *plot.Plot) error {
	for _, event := range run.Events {
		at := event.At.Seconds()
		if at > run.Scenario.Seconds {
			continue
		}
		top := max(drawing.Y.Max, minTopOfBar)
		bar, err := plotter.NewLine(plotter.XYs{{X: at, Y: 0}, {X: at, Y: top}})
		if err != nil {
			return err
		}
		bar.Color, bar.Dashes = color.Gray{150}, []vg.Length{vg.Points(2), vg.Points(2)}
		drawing.Add(bar)
	}
	return nil
}
