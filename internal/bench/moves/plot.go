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

// plotEvery keeps the file small; the shares of the nodes differ for less time.
const plotEvery = 500 * time.Millisecond

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

// shareOverTime runs one move of a kind and records the mean share of its nodes.
func shareOverTime(name string) plotter.XYs {
	var points plotter.XYs
	for i := range cases {
		if cases[i].name != name {
			continue
		}
		r := run{
			kind: &cases[i], size: &sizes[0], rate: usual.rate, window: usual.window, until: usual.until,
			tickEach: usual.tick, rng: rand.New(rand.NewPCG(1, 0)),
		}
		r.onStep = func(r *run) {
			if r.now%plotEvery == 0 {
				points = append(points, plotter.XY{X: r.now.Seconds(), Y: r.meanShare()})
			}
		}
		r.simulate()
	}
	return points
}

// meanShare is the mean share of the first route in percent.
func (r *run) meanShare() float64 {
	total := 0.0
	for _, n := range r.nodes {
		total += float64(n.c.Moves()[0].Share)
	}
	return 100 * total / float64(move.FullShare) / float64(len(r.nodes))
}
