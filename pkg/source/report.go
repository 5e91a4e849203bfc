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

// ErrAlreadyReported means that the report exists already.
var ErrAlreadyReported = errors.New("already reported")

// reportRow is a report with the epoch of the lease under which it was written
// and a random nonce. When the answer to a commit is lost, the nonce shows
// whether this call wrote the row.
type reportRow struct {
	Report
	Epoch uint64 `json:"epoch"`
	Nonce string `json:"nonce"`
}

// Reports returns all reports. When some rows cannot be decoded, it returns the
// others together with an error that names those rows.
func (s *Source) Reports(ctx context.Context) ([]Report, error) {
	rows, err := list[reportRow](ctx, s, reportPrefix)
	reports := make([]Report, len(rows))
	for i, r := range rows {
		reports[i] = r.Report
	}
	return reports, err
}

// PutReport writes a report unless it exists, and only while the grant is in
// force. A waiting report is written as one row for each data centre that the
// move waits for. PutReport returns ErrAlreadyReported when all rows exist
// already and lease.ErrLost when the grant is no longer in force.
func (s *Source) PutReport(ctx context.Context, grant lease.Grant, r Report) error {
	if grant.Epoch == 0 {
		// The condition of a zero grant would hold, since no row has its empty key.
		return fmt.Errorf("report of move %s: %w", r.Move, lease.ErrLost)
	}
	if r.Kind != ReportWaiting {
		return s.putReportRow(ctx, grant, rowKey(reportPrefix, string(r.Move), string(r.Kind)), r)
	}
	if len(r.WaitingFor) == 0 {
		return fmt.Errorf("report of move %s: a waiting report names no data centre", r.Move)
	}
	written := false
	for _, dc := range r.WaitingFor {
		forDC := r
		forDC.WaitingFor = []mesh.DataCentre{dc}
		err := s.putReportRow(ctx, grant, rowKey(reportPrefix, string(r.Move), string(r.Kind), string(dc)), forDC)
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

func (s *Source) putReportRow(ctx context.Context, grant lease.Grant, k string, r Report) error {
	nonce := uuid.NewString()
	value, err := json.Marshal(reportRow{Report: r, Epoch: grant.Epoch, Nonce: nonce})
	if err != nil {
		return fmt.Errorf("%s: %w", k, err)
	}
	err = s.retry(ctx, func() error {
		err := s.table.Commit(ctx, platform.Txn{
			Conditions: []platform.Condition{grant.Condition(), {Key: k}},
			Writes:     []platform.Write{{Key: k, Value: value}},
		})
		if errors.Is(err, platform.ErrConflict) {
			return s.conflictCause(ctx, k, nonce)
		}
		return err
	})
	if err != nil {
		return fmt.Errorf("%s: %w", k, err)
	}
	return nil
}

// conflictCause returns why a commit of a report conflicted: ErrAlreadyReported
// or lease.ErrLost. It returns nil when the row has this call's nonce, since an
// earlier attempt whose answer was lost has then written it.
func (s *Source) conflictCause(ctx context.Context, k, nonce string) error {
	row, err := s.table.Get(ctx, k)
	if errors.Is(err, platform.ErrNotFound) {
		return lease.ErrLost
	}
	if err != nil {
		return err
	}
	var existing reportRow
	if err := json.Unmarshal(row.Value, &existing); err != nil {
		return fmt.Errorf("decode %s: %w", k, err)
	}
	if existing.Nonce == nonce {
		return nil
	}
	return ErrAlreadyReported
}
