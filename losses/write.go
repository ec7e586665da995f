package losses

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Write prints the report as a table of causes.
func (r *Report) Write(w io.Writer) error {
	if _, err := fmt.Fprintf(w, "%d requests, %d jobs, %d listed items; %d late or not served\n\n", r.Requests, r.Jobs, r.Items, len(r.Losses)); err != nil {
		return err
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "cause\tcount\tlost s\tmost at\texample") // Flush reports a write error
	for _, s := range r.ByCause() {
		_, _ = fmt.Fprintf(t, "%s\t%d\t%.1f\t%s\t%s\n", s.Cause, s.Count, float64(s.LostMs)/1000, strings.Join(s.Seconds, ", "), s.Example)
	}
	for _, c := range slices.Sorted(maps.Keys(r.Unlisted)) {
		_, _ = fmt.Fprintf(t, "%s, only counted\t%d\t\t\t\n", c, r.Unlisted[c])
	}
	return t.Flush()
}

// Size of the plot.
const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// Plot draws the losses per second to an SVG or PNG file, one line for each cause, the most
// frequent first.
func (r *Report) Plot(file string) error {
	p := plot.New()
	p.Title.Text = "late or not served, by cause"
	p.X.Label.Text, p.Y.Label.Text = "second", "losses"
	if len(r.Losses) > 0 {
		if err := r.addLines(p); err != nil {
			return err
		}
	}
	return p.Save(plotWidth, plotHeight, file)
}

// addLines adds a line of losses per second for each cause.
func (r *Report) addLines(p *plot.Plot) error {
	start := r.Losses[0].At.Truncate(time.Second)
	seconds := int(r.Losses[len(r.Losses)-1].At.Sub(start)/time.Second) + 1
	for i, s := range r.ByCause() {
		points := make(plotter.XYs, seconds)
		for n := range points {
			points[n].X = float64(n)
		}
		for _, l := range r.Losses {
			if l.Cause == s.Cause {
				points[int(l.At.Sub(start)/time.Second)].Y++
			}
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return err
		}
		line.Color, line.Dashes = plotutil.Color(i), plotutil.Dashes(i)
		p.Add(line)
		p.Legend.Add(string(s.Cause), line)
	}
	p.Legend.Top = true
	return nil
}
