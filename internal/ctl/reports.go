package ctl

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/source"
)

// followPeriod is the time between two reads of --follow. Reports are written
// some seconds after their cause, so that a shorter period shows nothing sooner.
const followPeriod = 2 * time.Second

type reportsCommand struct {
	*app `no-flag:"true"`
	outputOption
	Follow bool `long:"follow" description:"go on and print new reports until interrupted"`
}

// Execute lists the reports, oldest first.
func (c *reportsCommand) Execute([]string) error {
	printed := map[string]bool{}
	reports, err := c.next(printed)
	if perr := c.print(reports); perr != nil {
		return perr
	}
	if !c.Follow {
		if err == nil && len(reports) == 0 {
			c.note("there are no reports")
		}
		return err
	}
	for {
		if err != nil && c.ctx.Err() == nil {
			c.note("reports cannot be read: %v; trying again", err)
		}
		select {
		case <-c.ctx.Done():
			return nil
		case <-time.After(followPeriod):
		}
		reports, err = c.next(printed)
		if perr := c.print(reports); perr != nil {
			return perr
		}
	}
}

// next reads the reports and returns those that were not printed yet. With an
// error for some rows it still returns the others.
func (c *reportsCommand) next(printed map[string]bool) ([]source.Report, error) {
	ctx, cancel := context.WithTimeout(c.ctx, c.Timeout)
	defer cancel()
	all, err := c.source.Reports(ctx)
	slices.SortStableFunc(all, func(a, b source.Report) int {
		return cmp.Or(a.At.Compare(b.At), strings.Compare(reportKey(&a), reportKey(&b)))
	})
	fresh := slices.DeleteFunc(all, func(r source.Report) bool { return printed[reportKey(&r)] })
	for i := range fresh {
		printed[reportKey(&fresh[i])] = true
	}
	return fresh, err
}

// reportKey identifies a report: each kind is written once for a move, and
// waiting once for a data centre.
func reportKey(r *source.Report) string {
	return fmt.Sprintf("%s/%s/%v", r.Move, r.Kind, r.WaitingFor)
}

func (c *reportsCommand) print(reports []source.Report) error {
	if c.Output == "json" {
		for _, r := range reports {
			if err := printJSON(c.Out, r); err != nil {
				return err
			}
		}
		return nil
	}
	if c.Follow {
		// A table cannot grow, so that each report becomes a line.
		for _, r := range reports {
			if _, err := fmt.Fprintf(c.Out, "%s  %s  %s  %s@%s  %s\n", r.At.Format(time.RFC3339), r.Kind, r.Route, r.Service, r.Version, r.Text); err != nil {
				return err
			}
		}
		return nil
	}
	var rows [][]string
	for _, r := range reports {
		rows = append(rows, []string{r.At.Format(time.RFC3339), string(r.Kind), r.Route, string(r.Service), string(r.From), string(r.Version), r.Text})
	}
	return printTable(c.Out, []string{"At", "Report", "Route", "Service", "From", "To", "Text"}, rows)
}
