package hop

import (
	"bytes"
	"fmt"
	"net/http"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"golang.org/x/net/http2/hpack"

	"nutmeghoist.example/nutmeghoist/pkg/mesh"
)

// Fields that recur from call to call are sent as references into a table that
// both ends of a connection keep (HPACK), since bytes between data centres are
// dear. Their names cannot be those of HTTP headers.
const (
	fieldTarget  = ":target"
	fieldService = ":service"
	fieldVersion = ":version"
	fieldCaller  = ":caller"
	fieldMethod  = ":method"
	fieldHost    = ":host"
	fieldRoute   = ":route"
	fieldReason  = ":reason"
)

// maxFieldTable bounds the table of a connection in bytes, at each end.
const maxFieldTable = 4096

// wireRequest is a Request on the wire.
type wireRequest struct {
	Stream     uint64 `cbor:"1,keyasint"`
	Fields     []byte `cbor:"2,keyasint"`
	ID         string `cbor:"3,keyasint"`
	URI        string `cbor:"4,keyasint"`
	Body       []byte `cbor:"5,keyasint,omitempty"`
	Priority   int    `cbor:"6,keyasint,omitempty"`
	Idempotent bool   `cbor:"7,keyasint,omitempty"`
	DeadlineAt int64  `cbor:"8,keyasint"`
	AimAt      int64  `cbor:"9,keyasint"`
}

// wireResponse is a Response on the wire.
type wireResponse struct {
	Stream       uint64  `cbor:"1,keyasint"`
	Outcome      Outcome `cbor:"2,keyasint"`
	RetryAfterMs int64   `cbor:"3,keyasint,omitempty"`
	Offered      bool    `cbor:"4,keyasint,omitempty"`
	Status       int     `cbor:"5,keyasint,omitempty"`
	Stamp        string  `cbor:"6,keyasint,omitempty"`
	Fields       []byte  `cbor:"7,keyasint,omitempty"`
	Body         []byte  `cbor:"8,keyasint,omitempty"`
	Load         *Load   `cbor:"9,keyasint,omitempty"`
	ServiceUs    int64   `cbor:"10,keyasint,omitempty"`
}

// fieldWriter encodes fields in the order of the frames that carry them.
type fieldWriter struct {
	enc *hpack.Encoder
	buf bytes.Buffer
}

func (w *fieldWriter) encode(pseudo []hpack.HeaderField, h http.Header) ([]byte, error) {
	if w.enc == nil {
		w.enc = hpack.NewEncoder(&w.buf)
		w.enc.SetMaxDynamicTableSizeLimit(maxFieldTable)
	}
	w.buf.Reset()
	for _, f := range pseudo {
		if f.Value == "" {
			continue
		}
		if err := w.enc.WriteField(f); err != nil {
			return nil, err
		}
	}
	names := make([]string, 0, len(h))
	for name := range h {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		for _, v := range h[name] {
			if err := w.enc.WriteField(hpack.HeaderField{Name: name, Value: v}); err != nil {
				return nil, err
			}
		}
	}
	return bytes.Clone(w.buf.Bytes()), nil
}

// fieldReader decodes fields in the order of the frames that carry them.
type fieldReader struct{ dec *hpack.Decoder }

func (r *fieldReader) decode(block []byte) (map[string]string, http.Header, error) {
	if r.dec == nil {
		r.dec = hpack.NewDecoder(maxFieldTable, nil)
		r.dec.SetMaxStringLength(MaxFrame)
	}
	fields, err := r.dec.DecodeFull(block)
	if err != nil {
		return nil, nil, fmt.Errorf("%w: %w", errFrame, err)
	}
	pseudo, h := make(map[string]string, 8), make(http.Header, len(fields))
	for _, f := range fields {
		if f.IsPseudo() {
			pseudo[f.Name] = f.Value
		} else {
			h[f.Name] = append(h[f.Name], f.Value)
		}
	}
	return pseudo, h, nil
}

func (c *conn) writeRequest(r *Request) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	fields, err := c.out.encode([]hpack.HeaderField{
		{Name: fieldTarget, Value: string(r.Target)},
		{Name: fieldService, Value: string(r.Service)},
		{Name: fieldVersion, Value: string(r.Version)},
		{Name: fieldCaller, Value: string(r.Caller)},
		{Name: fieldMethod, Value: r.Method},
		{Name: fieldHost, Value: r.Host},
		{Name: fieldRoute, Value: r.Route},
	}, r.Header)
	if err != nil {
		return err
	}
	return c.writeMessageLocked(frameRequest, &wireRequest{
		Stream: r.Stream, Fields: fields, ID: r.ID, URI: r.URI, Body: r.Body, Priority: r.Priority,
		Idempotent: r.Idempotent, DeadlineAt: r.DeadlineAt, AimAt: r.SoftDeadlineAt,
	})
}

func (c *conn) readRequest(payload []byte) (*Request, error) {
	var w wireRequest
	if err := cbor.Unmarshal(payload, &w); err != nil {
		return nil, err
	}
	f, h, err := c.fields.decode(w.Fields)
	if err != nil {
		return nil, err
	}
	return &Request{
		Stream: w.Stream, Target: mesh.TargetID(f[fieldTarget]), Service: mesh.ServiceName(f[fieldService]),
		Version: mesh.TargetVersion(f[fieldVersion]), Caller: mesh.ServiceName(f[fieldCaller]), ID: w.ID,
		Method: f[fieldMethod], URI: w.URI, Host: f[fieldHost], Header: h, Body: w.Body, Priority: w.Priority,
		Idempotent: w.Idempotent, Route: f[fieldRoute], DeadlineAt: w.DeadlineAt, SoftDeadlineAt: w.AimAt,
	}, nil
}

func (c *conn) writeResponse(r *Response) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	fields, err := c.out.encode([]hpack.HeaderField{{Name: fieldReason, Value: r.Reason}}, r.Header)
	if err != nil {
		return err
	}
	return c.writeMessageLocked(frameResponse, &wireResponse{
		Stream: r.Stream, Outcome: r.Outcome, RetryAfterMs: r.RetryAfterMs, Offered: r.SentToTarget, Status: r.Status,
		Stamp: r.Stamp, Fields: fields, Body: r.Body, Load: r.Load, ServiceUs: r.ServiceUs,
	})
}

func (c *conn) readResponse(payload []byte) (*Response, error) {
	var w wireResponse
	if err := cbor.Unmarshal(payload, &w); err != nil {
		return nil, err
	}
	f, h, err := c.fields.decode(w.Fields)
	if err != nil {
		return nil, err
	}
	return &Response{
		Stream: w.Stream, Outcome: w.Outcome, Reason: f[fieldReason], RetryAfterMs: w.RetryAfterMs, SentToTarget: w.Offered,
		Status: w.Status, Stamp: w.Stamp, Header: h, Body: w.Body, Load: w.Load, ServiceUs: w.ServiceUs,
	}, nil
}
