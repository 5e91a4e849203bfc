package moves

import (
	"fmt"
	"image/color"
	"math/rand/v2"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"nutmeghoist.example/nutmeghoist/pkg/move"
)

// plotInterval is the time between two points of the plot. It keeps the file
// small, and the shares of the nodes differ only for a shorter time.
const plotInterval = 500 * time.Millisecond

// Plot writes an SVG file with the share of a good and of a bad version over
// time, averaged over the nodes of the larger mesh.
func Plot(path string) error {
	p := plot.New()
	p.Title.Text = "Share of the new version"
	p.X.Label.Text = "time since acceptance (s)"
	p.Y.Label.Text = "share (%)"
	p.Add(plotter.NewGrid())
	for i, name := range []string{"good", "bad_later"} {
		line, err := plotter.NewLine(shareOverTime(name))
		if err != nil {
			return fmt.Errorf("plot %s: %w", name, err)
		}
		line.Width = vg.Points(1.5)
		line.Color = []color.Color{color.RGBA{G: 128, A: 255}, color.RGBA{R: 192, A: 255}}[i]
		p.Add(line)
		p.Legend.Add([]string{"good version", "version that fails from 70% of the window on"}[i], line)
	}
	p.Legend.Top, p.Legend.Left = true, true
	if err := p.Save(20*vg.Centimeter, 10*vg.Centimeter, path); err != nil {
		return fmt.Errorf("save plot %s: %w", path, err)
	}
	return nil
}

// shareOverTime simulates one move of a scenario and returns the mean share of
// its nodes over time.
func shareOverTime(name string) plotter.XYs {
	var points plotter.XYs
	for i := range scenarios {
		if scenarios[i].name != name {
			continue
		}
		r := run{
			scenario: &scenarios[i], size: &meshSizes[0], rate: usualTraffic.rate, window: usualTraffic.window, simulateUntil: usualTraffic.simulateUntil,
			tickPeriod: usualTraffic.tickPeriod, rng: rand.New(rand.NewPCG(1, 0)),
		}
		r.onStep = func(r *run) {
			if r.now%plotInterval == 0 {
				points = append(points, plotter.XY{X: r.now.Seconds(), Y: r.meanShare()})
			}
		}
		r.simulate()
	}
	return points
}

// meanShare returns the mean share of the first route over the nodes in percent.
func (r *run) meanShare() float64 {
	total := 0.0
	for _, n := range r.nodes {
		total += float64(n.controller.Moves()[0].Share)
	}
	return 100 * total / float64(move.FullShare) / float64(len(r.nodes))
}
