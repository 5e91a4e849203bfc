package source

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/google/uuid"

	"nutmeghoist.example/nutmeghoist/pkg/lease"
	"nutmeghoist.example/nutmeghoist/pkg/mesh"
	"nutmeghoist.example/nutmeghoist/pkg/platform"
)

// ErrAlreadyReported means that the report exists.
var ErrAlreadyReported = errors.New("already reported")

// reportRow is a report together with the epoch of the lease it was written
// under and a random nonce of the call, which settles a lost answer.
type reportRow struct {
	Report
	Epoch uint64 `json:"epoch"`
	Nonce string `json:"nonce"`
}

// Reports returns all reports. With an error that names undecodable rows it
// still returns the others.
func (s *Source) Reports(ctx context.Context) ([]Report, error) {
	rows, err := list[reportRow](ctx, s, reportPrefix)
	reports := make([]Report, len(rows))
	for i, r := range rows {
		reports[i] = r.Report
	}
	return reports, err
}

// PutReport writes a report once, and only while the lease is still the given
// grant. A waiting report becomes one row for each data centre it waits for.
// It returns ErrAlreadyReported when every row exists and lease.ErrLost when
// the grant no longer holds.
func (s *Source) PutReport(ctx context.Context, holder lease.Grant, r Report) error {
	if holder.Epoch == 0 {
		// The condition of a zero grant would hold, since its row is absent.
		return fmt.Errorf("report of move %s: %w", r.Move, lease.ErrLost)
	}
	if r.Kind != ReportWaiting {
		return s.putReport(ctx, holder, key(reportPrefix, string(r.Move), string(r.Kind)), r)
	}
	if len(r.WaitingFor) == 0 {
		return fmt.Errorf("report of move %s: a waiting report names no data centre", r.Move)
	}
	written := false
	for _, dc := range r.WaitingFor {
		one := r
		one.WaitingFor = []mesh.DataCentre{dc}
		err := s.putReport(ctx, holder, key(reportPrefix, string(r.Move), string(r.Kind), string(dc)), one)
		if err != nil && !errors.Is(err, ErrAlreadyReported) {
			return err
		}
		written = written || err == nil
	}
	if !written {
		return fmt.Errorf("report of move %s, %s: %w", r.Move, r.Kind, ErrAlreadyReported)
	}
	return nil
}

func (s *Source) putReport(ctx context.Context, holder lease.Grant, k string, r Report) error {
	nonce := uuid.NewString()
	value, err := json.Marshal(reportRow{Report: r, Epoch: holder.Epoch, Nonce: nonce})
	if err != nil {
		return fmt.Errorf("%s: %w", k, err)
	}
	err = s.retry(ctx, func() error {
		err := s.table.Commit(ctx, platform.Txn{
			Conditions: []platform.Condition{holder.Condition(), {Key: k}},
			Writes:     []platform.Write{{Key: k, Value: value}},
		})
		if errors.Is(err, platform.ErrConflict) {
			return s.whyRefused(ctx, k, nonce)
		}
		return err
	})
	if err != nil {
		return fmt.Errorf("%s: %w", k, err)
	}
	return nil
}

// whyRefused tells a report that exists from a lease that was lost. A row with
// this call's nonce was written by an earlier attempt whose answer was lost.
func (s *Source) whyRefused(ctx context.Context, k, nonce string) error {
	row, err := s.table.Get(ctx, k)
	if errors.Is(err, platform.ErrNotFound) {
		return lease.ErrLost
	}
	if err != nil {
		return err
	}
	var have reportRow
	if err := json.Unmarshal(row.Value, &have); err != nil {
		return fmt.Errorf("decode %s: %w", k, err)
	}
	if have.Nonce == nonce {
		return nil
	}
	return ErrAlreadyReported
}
