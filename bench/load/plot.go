package load

import (
	"time"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Size of a plot and the range that it shows.
const (
	plotWidth  = 9 * vg.Inch
	plotHeight = 5 * vg.Inch
	// tailFrom is the quantile at which the plot begins; below it nearly all policies are
	// alike.
	tailFrom = 0.8
	// plotPoints is the number of intervals on one line.
	plotPoints = 400
)

// Plot writes the tail of each outcome's times to the first event to a file. The file
// name's extension selects SVG or PNG.
func Plot(outcomes []Outcome, file string) error {
	p := plot.New()
	p.Title.Text = "Time to the first event of online requests, slowest fifth"
	p.X.Label.Text = "fraction of all requests"
	p.Y.Label.Text = "ms"
	p.Legend.Top, p.Legend.Left = true, true
	for n, o := range outcomes {
		line, err := plotter.NewLine(tailPoints(o.FirstEventTimes))
		if err != nil {
			return errors.Wrapf(err, "plot line of policy %s", o.Policy)
		}
		line.Color, line.Dashes = plotutil.Color(n), plotutil.Dashes(n)
		p.Add(line)
		name := o.Scenario + ", " + o.Policy
		if !o.Batch {
			name += ", no batch"
		}
		p.Legend.Add(name, line)
	}
	if err := p.Save(plotWidth, plotHeight, file); err != nil {
		return errors.Wrapf(err, "save plot %s", file)
	}
	return nil
}

func tailPoints(firsts []time.Duration) plotter.XYs {
	var out plotter.XYs
	if len(firsts) == 0 {
		return out
	}
	for n := range plotPoints + 1 {
		part := tailFrom + (1-tailFrom)*float64(n)/plotPoints
		at := min(int(part*float64(len(firsts))), len(firsts)-1)
		out = append(out, plotter.XY{X: part, Y: float64(firsts[at]) / float64(time.Millisecond)})
	}
	return out
}
