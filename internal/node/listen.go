package node

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	"nutmeghoist.example/nutmeghoist/internal/linger"
	"nutmeghoist.example/nutmeghoist/internal/opapi"
	"nutmeghoist.example/nutmeghoist/internal/telemetry"
	"nutmeghoist.example/nutmeghoist/pkg/move"
	"nutmeghoist.example/nutmeghoist/pkg/rules"
)

const (
	// headerTimeout limits how long a client may take to send the request headers.
	headerTimeout  = 5 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 64 << 10 // of one request
)

// server is an HTTP server with its listener.
type server struct {
	http     *http.Server
	listener net.Listener
	tcp      *linger.Listener // below TLS, if any
}

func (s *server) serve() error { return s.http.Serve(s.listener) }

// stop waits for requests in flight, and for answers to reach callers that are still
// sending. It closes the requests that remain when ctx ends.
func (s *server) stop(ctx context.Context) { s.tcp.Stop(ctx, s.http) }

// listen opens all listeners. On an error it closes those already open.
func (n *Node) listen() ([]*server, error) {
	callTLS := n.keys.ServerConfig()
	// HTTP/2 would multiplex calls on one connection, where one lost packet or
	// an unresponsive connection delays all of them (head-of-line blocking).
	callTLS.NextProtos = []string{"http/1.1"}
	var servers []*server
	for _, l := range []struct {
		name      string
		addr      netip.AddrPort
		handler   http.Handler
		tlsConfig *tls.Config
	}{
		{"operator", n.settings.OperatorAddress, n.operatorHandler(), nil},
		{"announce", n.settings.AnnounceAddress, n.targets.Handler(), nil},
		{"call", n.settings.CallAddress, n.callHandler(), callTLS},
		{"caller", n.settings.CallerAddress, n.callerHandler(), nil},
	} {
		s, err := n.newServer(l.addr, l.handler, l.tlsConfig)
		if err != nil {
			for _, s := range servers {
				_ = s.listener.Close()
			}
			return nil, fmt.Errorf("%s listener: %w", l.name, err)
		}
		servers = append(servers, s)
	}
	return servers, nil
}

func (n *Node) newServer(addr netip.AddrPort, h http.Handler, tlsConfig *tls.Config) (*server, error) {
	l, err := net.Listen("tcp", addr.String())
	if err != nil {
		return nil, err
	}
	lingering := linger.NewListener(l)
	l = lingering
	if tlsConfig != nil {
		l = tls.NewListener(l, tlsConfig)
	}
	return &server{listener: l, tcp: lingering, http: &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: n.log.Std("", 0),
	}}, nil
}

// callerHandler strips the control header from callers' requests.
func (n *Node) callerHandler() http.Handler {
	h := n.proxy.CallerHandler()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Header.Del(controlHeader)
		h.ServeHTTP(w, r)
	})
}

func (n *Node) callHandler() http.Handler {
	calls, control := n.proxy.PeerHandler(), n.controlHandler()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.TLS != nil && n.keys.IsRevoked(*r.TLS) { // since the connection was opened
			n.count("keys.revoked_requests")
			w.Header().Set("Connection", "close")
			http.Error(w, "certificate is revoked", http.StatusForbidden)
			return
		}
		if isControl(r) {
			control.ServeHTTP(w, r)
			return
		}
		calls.ServeHTTP(w, r)
	})
}

// operatorHandler serves status, metrics, readiness and liveness.
func (n *Node) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+opapi.StatusPath, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(n.status()); err != nil {
			n.log.Debug().Err(err).Msg("status not sent")
		}
	})
	mux.Handle("GET /metrics", telemetry.Handler(n.metrics))
	mux.HandleFunc("GET /live", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "live") })
	mux.HandleFunc("GET /ready", func(w http.ResponseWriter, _ *http.Request) {
		if !n.Ready() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return
		}
		fmt.Fprintln(w, "ready")
	})
	mux.HandleFunc("POST "+opapi.PollPath, func(w http.ResponseWriter, _ *http.Request) {
		notify(n.pollNow)
		w.WriteHeader(http.StatusAccepted)
	})
	return mux
}

func (n *Node) status() opapi.Status {
	s := opapi.Status{
		Host: n.settings.Host, DataCentre: n.settings.DataCentre,
		Ready: n.Ready(), Draining: n.draining.Load(), Version: n.activeVersion(),
		Hosts: n.members.Hosts(), Vetoes: n.gossip.Vetoes(),
	}
	s.Head, _, _ = n.gossip.Head()
	if snap := n.active.Load(); snap != nil {
		for i := range snap.Rules {
			s.Rules = append(s.Rules, rules.Format(snap.Rules[i]))
		}
		for i := range snap.Services {
			s.Rules = append(s.Rules, rules.FormatService(snap.Services[i]))
		}
	}
	for _, m := range n.moves.Moves() {
		s.Moves = append(s.Moves, opapi.MoveStatus{
			Move: m.Move, Route: m.Route, Service: m.Service, From: m.From, To: m.Version,
			Share: float64(m.Share) / float64(move.FullShare), State: string(m.State), By: m.Schedule.By,
		})
	}
	return s
}
