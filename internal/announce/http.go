package announce

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"regexp"
	"slices"
	"strings"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/admission"
	"nutmeghoist.example/nutmeghoist/pkg/finding"
	"nutmeghoist.example/nutmeghoist/pkg/membership"
	"nutmeghoist.example/nutmeghoist/pkg/mesh"
)

const (
	maxBodyBytes = 4 << 10
	maxSlots     = 100_000 // also bounds the connections
)

var (
	targetIDPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$`)
	// namePattern matches the service and version names that rules files allow. A
	// target with a longer name could not be referenced by a rule.
	namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)
)

// putResult is the outcome of Registry.put.
type putResult uint8

const (
	putOK putResult = iota
	putLeaving
	putFull
)

// announcement is the body of PUT /targets/{id}.
type announcement struct {
	Service     mesh.ServiceName   `json:"service"`
	Version     mesh.TargetVersion `json:"version"`
	Address     string             `json:"address"`
	Slots       int                `json:"slots"`
	Connections int                `json:"connections"`
}

// Handler serves PUT and DELETE /targets/{id} and GET /targets.
func (r *Registry) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /targets/{id}", r.servePut)
	mux.HandleFunc("DELETE /targets/{id}", r.serveDelete)
	mux.HandleFunc("GET /targets", r.serveList)
	return mux
}

func (r *Registry) servePut(w http.ResponseWriter, req *http.Request) {
	t, findings := parseAnnouncement(req.PathValue("id"), http.MaxBytesReader(w, req.Body, maxBodyBytes))
	if len(findings) > 0 {
		r.count("announce.invalid")
		writeFindings(w, http.StatusBadRequest, findings)
		return
	}
	switch r.put(t, time.Now()) {
	case putLeaving:
		w.Header().Set("Retry-After", "1")
		writeFindings(w, http.StatusConflict, finding.List{{Message: fmt.Sprintf("target %q is draining or was withdrawn", t.ID), Suggestion: "retry after the delay in Retry-After"}})
	case putFull:
		r.count("announce.full")
		writeFindings(w, http.StatusTooManyRequests, finding.List{{Message: fmt.Sprintf("the host already has %d targets, the maximum", maxTargets)}})
	default:
		w.WriteHeader(http.StatusNoContent)
	}
}

func (r *Registry) serveDelete(w http.ResponseWriter, req *http.Request) {
	id := mesh.TargetID(req.PathValue("id"))
	if !r.withdraw(id, time.Now()) {
		writeFindings(w, http.StatusNotFound, finding.List{{Message: fmt.Sprintf("target %q is not announced", id)}})
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// listedTarget is an element of the response to GET /targets.
type listedTarget struct {
	membership.Target
	StateName   string         `json:"state_name"`
	Admission   admission.Load `json:"admission"`
	ProbeResult ProbeResult    `json:"hint"`
}

func (r *Registry) serveList(w http.ResponseWriter, _ *http.Request) {
	r.mu.RLock()
	list := make([]listedTarget, 0, len(r.targets))
	for _, e := range r.targets {
		list = append(list, listedTarget{e.target, string(e.state), e.limiter.Load(), e.probeResult})
	}
	r.mu.RUnlock()
	slices.SortFunc(list, func(a, b listedTarget) int { return strings.Compare(string(a.ID), string(b.ID)) })
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list) // the client may have disconnected
}

func writeFindings(w http.ResponseWriter, status int, l finding.List) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]finding.List{"findings": l}) // the client may have disconnected
}

// parseAnnouncement decodes an announcement and returns a finding for each
// invalid field.
func parseAnnouncement(id string, body io.Reader) (membership.Target, finding.List) {
	var l finding.List
	add := func(suggestion, format string, args ...any) {
		l.Add(finding.Finding{Message: fmt.Sprintf(format, args...), Suggestion: suggestion})
	}
	if !targetIDPattern.MatchString(id) {
		add("at most 128 letters, digits, dots, dashes and underscores, starting with a letter or digit", "target ID %q is not valid", id)
	}
	var a announcement
	data, err := io.ReadAll(body)
	if err == nil {
		d := json.NewDecoder(bytes.NewReader(data))
		d.DisallowUnknownFields()
		err = d.Decode(&a)
	}
	if err != nil {
		add("a JSON object with service, version, address, slots and connections", "the body is not an announcement: %v", err)
		return membership.Target{}, l
	}
	if !namePattern.MatchString(string(a.Service)) {
		add("at most 63 characters, for example orderdesk", "service %q is not valid", a.Service)
	}
	if !namePattern.MatchString(string(a.Version)) {
		add("at most 63 characters, for example tray-2", "version %q is not valid", a.Version)
	}
	if p, err := netip.ParseAddrPort(a.Address); err != nil || p.Port() == 0 || p.Addr().IsUnspecified() {
		add("an address such as 127.0.0.1:8080", "address %q is not an IP address with a port", a.Address)
	}
	if a.Slots < 1 || a.Slots > maxSlots {
		add(fmt.Sprintf("1 to %d", maxSlots), "slots %d is out of range", a.Slots)
	}
	if a.Connections < 1 || a.Connections > maxSlots {
		add(fmt.Sprintf("1 to %d", maxSlots), "connections %d is out of range", a.Connections)
	}
	return membership.Target{
		ID: mesh.TargetID(id), Service: a.Service, Version: a.Version,
		Address: a.Address, Slots: a.Slots, Connections: a.Connections,
	}, l
}
