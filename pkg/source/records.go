package source

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"

	"nutmeghoist.example/nutmeghoist/pkg/membership"
	"nutmeghoist.example/nutmeghoist/pkg/platform"
)

// Vetoes returns all vetoes. When some rows cannot be decoded, it returns the
// others together with an error that names those rows.
func (s *Source) Vetoes(ctx context.Context) ([]Veto, error) {
	return list[Veto](ctx, s, vetoPrefix)
}

// PutVeto writes a veto unless one with the same key exists. An existing veto
// has the same effect, so that case is not an error.
func (s *Source) PutVeto(ctx context.Context, v Veto) error {
	k := rowKey(vetoPrefix, string(v.Service), string(v.Version), strconv.Itoa(v.Attempt))
	value, err := json.Marshal(v)
	if err != nil {
		return fmt.Errorf("veto %s: %w", k, err)
	}
	err = s.retry(ctx, func() error {
		return s.table.Commit(ctx, platform.Txn{
			Conditions: []platform.Condition{{Key: k}},
			Writes:     []platform.Write{{Key: k, Value: value}},
		})
	})
	if err != nil && !errors.Is(err, platform.ErrConflict) {
		return fmt.Errorf("veto %s: %w", k, err)
	}
	return nil
}

// PutMember writes the record of a host. Only the host itself writes its row,
// so the write has no condition. Readers merge records by incarnation and
// sequence.
func (s *Source) PutMember(ctx context.Context, h membership.Host) error {
	k := rowKey(memberPrefix, string(h.DataCentre), string(h.ID))
	value, err := json.Marshal(h)
	if err != nil {
		return fmt.Errorf("member %s: %w", k, err)
	}
	err = s.retry(ctx, func() error {
		return s.table.Commit(ctx, platform.Txn{Writes: []platform.Write{{Key: k, Value: value}}})
	})
	if err != nil {
		return fmt.Errorf("member %s: %w", k, err)
	}
	return nil
}

// Members returns the records of all hosts. When some rows cannot be decoded,
// it returns the others together with an error that names those rows.
func (s *Source) Members(ctx context.Context) ([]membership.Host, error) {
	return list[membership.Host](ctx, s, memberPrefix)
}
