package node

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/fxamacker/cbor/v2"

	"nutmeghoist.example/nutmeghoist/pkg/membership"
	"nutmeghoist.example/nutmeghoist/pkg/mesh"
	"nutmeghoist.example/nutmeghoist/pkg/move"
)

// Control requests between nodes use the call listener, which other nodes
// connect to anyway. They carry controlHeader, which callerHandler strips from
// callers' requests, and their paths start with controlPrefix.
const (
	controlHeader  = "Nutmeghoist-Control"
	controlPrefix  = "/control/"
	pathEvidence   = controlPrefix + "evidence"
	pathState      = controlPrefix + "state"
	pathDataCentre = controlPrefix + "data-centre"

	// maxControlBytes limits the body of a control request or response. The
	// confirmations of 137 hosts with 32 moves each take about 300 KB.
	maxControlBytes = 1 << 20
)

// evidenceMessage carries one host's counters to an evaluator.
type evidenceMessage struct {
	Host     mesh.HostID     `cbor:"1,keyasint"`
	Evidence []move.Evidence `cbor:"2,keyasint"`
}

// hostState is the confirmation of one host for the reports on moves: the
// version in force and the shares of its moves.
type hostState struct {
	Host    mesh.HostID        `cbor:"1,keyasint"`
	Version mesh.ConfigVersion `cbor:"2,keyasint"`
	Moves   []moveState        `cbor:"3,keyasint,omitempty"`
}

type moveState struct {
	Move  mesh.MoveID `cbor:"1,keyasint"`
	Share move.Share  `cbor:"2,keyasint"`
}

// dataCentreState holds the states of a data centre's hosts as gathered by one
// of them.
type dataCentreState struct {
	Members []mesh.HostID `cbor:"1,keyasint"` // all hosts that must confirm
	States  []hostState   `cbor:"2,keyasint"` // of the hosts that answered
}

func isControl(r *http.Request) bool { return r.Header.Get(controlHeader) != "" }

// controlHandler serves control requests from other nodes. The listener has
// already verified the peer's certificate.
func (n *Node) controlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+pathEvidence, n.handleEvidence)
	mux.HandleFunc("GET "+pathState, func(w http.ResponseWriter, _ *http.Request) {
		n.writeCBOR(w, n.ownState())
	})
	mux.HandleFunc("GET "+pathDataCentre, func(w http.ResponseWriter, r *http.Request) {
		n.writeCBOR(w, n.gatherLocal(r.Context()))
	})
	return mux
}

func (n *Node) handleEvidence(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxControlBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	var m evidenceMessage
	if err := cbor.Unmarshal(body, &m); err != nil {
		n.count("control.bad_evidence")
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	n.moves.MergeEvidence(m.Host, m.Evidence)
	w.WriteHeader(http.StatusNoContent)
}

func (n *Node) writeCBOR(w http.ResponseWriter, v any) {
	data, err := cbor.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/cbor")
	if _, err := w.Write(data); err != nil {
		n.log.Debug().Err(err).Msg("control answer not sent")
	}
}

// sendControl sends a control request to a host and decodes the response into
// out.
func (n *Node) sendControl(ctx context.Context, to *membership.Host, method, path string, in, out any) error {
	var body io.Reader
	if in != nil {
		data, err := cbor.Marshal(in)
		if err != nil {
			return fmt.Errorf("encode control request %s: %w", path, err)
		}
		body = bytes.NewReader(data)
		n.metricsCounter("control.bytes_sent").Inc(int64(len(data)))
	}
	req, err := http.NewRequestWithContext(ctx, method, n.callURL(to)+path, body)
	if err != nil {
		return fmt.Errorf("control request %s to host %q: %w", path, to.ID, err)
	}
	req.Header.Set(controlHeader, string(n.settings.Host))
	resp, err := n.controlClient.Do(req)
	if err != nil {
		return fmt.Errorf("control request %s to host %q: %w", path, to.ID, err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxControlBytes+1))
	if err != nil {
		return fmt.Errorf("read response to control request %s from host %q: %w", path, to.ID, err)
	}
	n.metricsCounter("control.bytes_received").Inc(int64(len(data)))
	if resp.StatusCode/100 != 2 {
		return fmt.Errorf("control request %s to host %q: status %d", path, to.ID, resp.StatusCode)
	}
	if out == nil {
		return nil
	}
	if len(data) > maxControlBytes {
		return errors.New("response to control request is too large")
	}
	if err := cbor.Unmarshal(data, out); err != nil {
		return fmt.Errorf("decode response to control request %s from host %q: %w", path, to.ID, err)
	}
	return nil
}
