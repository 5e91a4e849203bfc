package hop

import (
	"bytes"
	"fmt"
	"net/http"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"golang.org/x/net/http2/hpack"

	"nutmeghoist.example/nutmeghoist/pkg/mesh"
	"nutmeghoist.example/nutmeghoist/pkg/suspect"
)

// Fields that recur from call to call are compressed with HPACK, as references
// into a table at both ends of a connection, since bytes between data centres
// are expensive. Their names cannot be those of HTTP headers.
const (
	fieldTarget  = ":target"
	fieldService = ":service"
	fieldVersion = ":version"
	fieldCaller  = ":caller"
	fieldMethod  = ":method"
	fieldHost    = ":host"
	fieldRoute   = ":route"
	fieldTeam    = ":team"
	fieldReason  = ":reason"
)

// maxFieldTableBytes bounds the HPACK table of a connection, at each end.
const maxFieldTableBytes = 4096

// wireRequest is the encoding of a Request.
type wireRequest struct {
	Stream         uint64      `cbor:"1,keyasint"`
	Fields         []byte      `cbor:"2,keyasint"`
	ID             string      `cbor:"3,keyasint"`
	URI            string      `cbor:"4,keyasint"`
	Body           sharedBytes `cbor:"5,keyasint,omitempty"` // written by writeWithBodyLocked
	Priority       int         `cbor:"6,keyasint,omitempty"`
	Idempotent     bool        `cbor:"7,keyasint,omitempty"`
	DeadlineAt     int64       `cbor:"8,keyasint"`
	SoftDeadlineAt int64       `cbor:"9,keyasint"`
	Nested         bool        `cbor:"10,keyasint,omitempty"`

	Signals   *TargetSignals `cbor:"11,keyasint,omitempty"`
	MayResend bool           `cbor:"12,keyasint,omitempty"`
	Repeat    bool           `cbor:"13,keyasint,omitempty"`
}

// wireResponse is the encoding of a Response.
type wireResponse struct {
	Stream       uint64      `cbor:"1,keyasint"`
	Outcome      Outcome     `cbor:"2,keyasint"`
	RetryAfterMs int64       `cbor:"3,keyasint,omitempty"`
	SentToTarget bool        `cbor:"4,keyasint,omitempty"`
	Status       int         `cbor:"5,keyasint,omitempty"`
	Stamp        string      `cbor:"6,keyasint,omitempty"`
	Fields       []byte      `cbor:"7,keyasint,omitempty"`
	Body         sharedBytes `cbor:"8,keyasint,omitempty"` // written by writeWithBodyLocked
	Load         *Load       `cbor:"9,keyasint,omitempty"`
	ServiceUs    int64       `cbor:"10,keyasint,omitempty"`

	Signals *TargetSignals `cbor:"11,keyasint,omitempty"`
	Ended   suspect.EndID  `cbor:"12,keyasint,omitempty"`
	Resent  bool           `cbor:"13,keyasint,omitempty"`

	NestedFailed bool `cbor:"14,keyasint,omitempty"`
}

// fieldWriter encodes fields into header blocks, which must be sent in the order
// of their encoding.
type fieldWriter struct {
	enc *hpack.Encoder
	buf bytes.Buffer
}

func (w *fieldWriter) encode(pseudo []hpack.HeaderField, h http.Header) ([]byte, error) {
	if w.enc == nil {
		w.enc = hpack.NewEncoder(&w.buf)
		w.enc.SetMaxDynamicTableSizeLimit(maxFieldTableBytes)
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

// fieldReader decodes header blocks, which must be passed to it in the order of
// their frames.
type fieldReader struct{ dec *hpack.Decoder }

func (r *fieldReader) decode(block []byte) (map[string]string, http.Header, error) {
	if r.dec == nil {
		r.dec = hpack.NewDecoder(maxFieldTableBytes, nil)
		r.dec.SetMaxStringLength(MaxFrame)
	}
	fields, err := r.dec.DecodeFull(block)
	if err != nil {
		return nil, nil, fmt.Errorf("%w: %w", errMalformedFrame, err)
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
	return c.writeRequestLocked(r)
}

// writeRequestLocked is writeRequest with c.mu held.
func (c *conn) writeRequestLocked(r *Request) error {
	fields, err := c.encoder.encode([]hpack.HeaderField{
		{Name: fieldTarget, Value: string(r.Target)},
		{Name: fieldService, Value: string(r.Service)},
		{Name: fieldVersion, Value: string(r.Version)},
		{Name: fieldCaller, Value: string(r.Caller)},
		{Name: fieldMethod, Value: r.Method},
		{Name: fieldHost, Value: r.Host},
		{Name: fieldRoute, Value: r.Route},
		{Name: fieldTeam, Value: string(r.Team), Sensitive: true}, // not worth a place in the table
	}, r.Header)
	if err != nil {
		return err
	}
	return c.writeWithBodyLocked(frameRequest, &wireRequest{
		Stream: r.Stream, Fields: fields, ID: r.ID, URI: r.URI, Priority: r.Priority,
		Idempotent: r.Idempotent, DeadlineAt: r.DeadlineAt, SoftDeadlineAt: r.SoftDeadlineAt, Nested: r.Nested, Signals: r.Signals,
		MayResend: r.MayResend, Repeat: r.Repeat,
	}, requestBodyKey, r.Body)
}

func (c *conn) readRequest(payload []byte) (*Request, error) {
	var w wireRequest
	if err := cbor.Unmarshal(payload, &w); err != nil {
		return nil, err
	}
	f, h, err := c.decoder.decode(w.Fields)
	if err != nil {
		return nil, err
	}
	return &Request{
		Stream: w.Stream, Target: mesh.TargetID(f[fieldTarget]), Service: mesh.ServiceName(f[fieldService]),
		Version: mesh.TargetVersion(f[fieldVersion]), Caller: mesh.ServiceName(f[fieldCaller]), ID: w.ID,
		Method: f[fieldMethod], URI: w.URI, Host: f[fieldHost], Header: h, Body: w.Body, Priority: w.Priority,
		Idempotent: w.Idempotent, Route: f[fieldRoute], DeadlineAt: w.DeadlineAt, SoftDeadlineAt: w.SoftDeadlineAt, Nested: w.Nested, Signals: w.Signals,
		MayResend: w.MayResend, Repeat: w.Repeat, Team: mesh.TeamName(f[fieldTeam]),
	}, nil
}

func (c *conn) writeResponse(r *Response) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	fields, err := c.encoder.encode([]hpack.HeaderField{{Name: fieldReason, Value: r.Reason}}, r.Header)
	if err != nil {
		return err
	}
	return c.writeWithBodyLocked(frameResponse, &wireResponse{
		Stream: r.Stream, Outcome: r.Outcome, RetryAfterMs: r.RetryAfterMs, SentToTarget: r.SentToTarget, Status: r.Status,
		Stamp: r.Stamp, Fields: fields, Load: r.Load, ServiceUs: r.ServiceUs, Signals: r.Signals, Ended: r.Ended, Resent: r.Resent,
		NestedFailed: r.NestedFailed,
	}, responseBodyKey, r.Body)
}

func (c *conn) readResponse(payload []byte) (*Response, error) {
	var w wireResponse
	if err := cbor.Unmarshal(payload, &w); err != nil {
		return nil, err
	}
	f, h, err := c.decoder.decode(w.Fields)
	if err != nil {
		return nil, err
	}
	return &Response{
		Stream: w.Stream, Outcome: w.Outcome, Reason: f[fieldReason], RetryAfterMs: w.RetryAfterMs, SentToTarget: w.SentToTarget,
		Status: w.Status, Stamp: w.Stamp, Header: h, Body: w.Body, Load: w.Load, ServiceUs: w.ServiceUs, Signals: w.Signals, Ended: w.Ended, Resent: w.Resent,
		NestedFailed: w.NestedFailed,
	}, nil
}
