package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/phuslu/log"

	"nutmeghoist.example/nutmeghoist/internal/telemetry"
	"nutmeghoist.example/nutmeghoist/pkg/platform/platformtest"
	"nutmeghoist.example/nutmeghoist/platform"
)

const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute // longer than the clients' 30 s, so that clients close first
	shutdownTimeout   = 2 * time.Second
)

// run serves until the context ends. If ready is not nil, run calls it with the
// listening address.
func run(ctx context.Context, s *settings, logs io.Writer, ready func(net.Addr)) error {
	logger := telemetry.NewLogger(logs, s.logLevel, "platform")
	store := platformtest.NewWithRates(s.writesPerSecond, s.readsPerSecond)
	listener, err := net.Listen("tcp", s.address.String())
	if err != nil {
		return fmt.Errorf("platform: %w", err)
	}
	server := &http.Server{
		Handler:           logFaults(logger, store, handler(store)),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
	}
	logger.Info().Str("address", listener.Addr().String()).Msg("platform listens")
	if ready != nil {
		ready(listener.Addr())
	}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	select {
	case err := <-failed:
		return fmt.Errorf("platform: %w", err)
	case <-ctx.Done():
	}
	shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := server.Shutdown(shutdownCtx); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return fmt.Errorf("platform: %w", err)
	}
	stats := store.Stats()
	logger.Info().Int("reads", stats.Reads.Total).Int("writes", stats.Writes.Total).Msg("platform stopped")
	return server.Close()
}

// handler serves the store's API, and the administration of its faults at
// /faults and of its counts at /stats.
func handler(store *platformtest.Store) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", platformtest.AdminHandler(store))
	mux.Handle("/v1/", platform.StoreHandler(store))
	return mux
}

// logFaults logs each change of the injected faults. The log formatter writes a
// true Bool without its value, so booleans are logged as strings.
func logFaults(logger *log.Logger, store *platformtest.Store, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		next.ServeHTTP(w, r)
		if r.Method != http.MethodPost || r.URL.Path != "/faults" {
			return
		}
		f := store.Faults()
		logger.Info().Str("down", strconv.FormatBool(f.Down)).Int64("delay_ms", f.DelayMS).Int("lose_after", f.LoseAfter).
			Int("lose_before", f.LoseBefore).Str("lose_prefix", f.LosePrefix).Str("stale_reads", strconv.FormatBool(f.StaleReads)).
			Int("writes_per_second", f.WritesPerSecond).Int("reads_per_second", f.ReadsPerSecond).Msg("faults switched")
	})
}
