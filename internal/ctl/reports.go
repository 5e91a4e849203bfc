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

// followPeriod is the time between reads with --follow. Reports are written
// some seconds after their cause, so a shorter period would not show them
// sooner.
const followPeriod = 2 * time.Second

type reportsCommand struct {
	*app `no-flag:"true"`
	outputOption
	Follow bool `long:"follow" description:"keep printing new reports until interrupted"`
}

// Execute lists the reports, oldest first.
func (c *reportsCommand) Execute([]string) error {
	printed := map[string]bool{}
	reports, err := c.readNew(printed)
	if printErr := c.print(reports); printErr != nil {
		return printErr
	}
	if !c.Follow {
		if err == nil && len(reports) == 0 {
			c.notef("there are no reports")
		}
		return err
	}
	for {
		if err != nil && c.ctx.Err() == nil {
			c.notef("reports cannot be read: %v; retrying", err)
		}
		select {
		case <-c.ctx.Done():
			return nil
		case <-time.After(followPeriod):
		}
		reports, err = c.readNew(printed)
		if printErr := c.print(reports); printErr != nil {
			return printErr
		}
	}
}

// readNew returns the reports that are not in printed, and adds them to it.
// When some rows cannot be read, it returns an error and the reports of the
// others.
func (c *reportsCommand) readNew(printed map[string]bool) ([]source.Report, error) {
	ctx, cancel := context.WithTimeout(c.ctx, c.Timeout)
	defer cancel()
	all, err := c.source.Reports(ctx)
	slices.SortStableFunc(all, func(a, b source.Report) int {
		return cmp.Or(a.At.Compare(b.At), strings.Compare(reportKey(&a), reportKey(&b)))
	})
	unprinted := slices.DeleteFunc(all, func(r source.Report) bool { return printed[reportKey(&r)] })
	for i := range unprinted {
		printed[reportKey(&unprinted[i])] = true
	}
	return unprinted, err
}

// reportKey identifies a report. Each kind is written once for a move, and kind
// waiting once for each data centre.
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
		// A table needs all rows at once, so each report is printed as a line.
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
