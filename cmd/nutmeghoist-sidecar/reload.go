package main

import (
	"bytes"
	"os"
	"os/signal"
	"runtime/debug"
	"strings"
	"syscall"
	"time"

	"github.com/phuslu/log"

	"nutmeghoist.example/nutmeghoist/internal/owner"
	"nutmeghoist.example/nutmeghoist/internal/sidecar"
	"nutmeghoist.example/nutmeghoist/platform"
)

const (
	// memoryShare is the Go runtime's soft memory limit as a share of the memory
	// that the platform's settings grant.
	memoryShare = 0.6
	// bufferShare is the share of that memory for the bodies of calls and responses
	// in progress.
	bufferShare = 0.25
	// settingsCheckInterval is the time between reads of the settings file, since
	// it can change without a signal.
	settingsCheckInterval = time.Second
)

func storeURL(s *platform.Settings) string { return "http://" + s.StoreAddress }

func bounds(s *platform.Settings) sidecar.Bounds {
	return sidecar.Bounds{
		Bounds: owner.Bounds{Drain: s.Bounds.Drain, HeartbeatInterval: s.Bounds.HeartbeatInterval},
		Grace:  s.Bounds.Grace, RetrySlack: s.Bounds.RetrySlack, Evacuation: s.Bounds.Evacuation,
		ColdFactor: s.Bounds.ColdFactor, ColdSlack: s.Bounds.ColdSlack,
	}
}

func setMemoryLimit(s *platform.Settings) {
	debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryBytes)))
}

func bufferBytes(s *platform.Settings) int64 { return int64(bufferShare * float64(s.MemoryBytes)) }

// reloader applies changed settings while the node serves.
type reloader struct {
	path    string
	inForce *platform.Settings
	content []byte // of the file when it was last read
	node    interface {
		SetBounds(b sidecar.Bounds)
		SetBufferBytes(n int64)
	}
	store interface{ SetAddress(baseURL string) }
	log   *log.Logger
}

func newReloader(path string, s *platform.Settings, node *sidecar.Sidecar, store *platform.Store, logger *log.Logger) *reloader {
	content, _ := os.ReadFile(path) // after an error, run reloads the settings at its next tick
	return &reloader{path: path, inForce: s, content: content, node: node, store: store, log: logger}
}

// notifyHangUps returns a channel of the SIGHUP signals that the process
// receives from now on. By default, SIGHUP would end a node that is starting,
// or one that is stopping and has calls in flight.
func notifyHangUps() <-chan os.Signal {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	return hup
}

// run reloads the settings on SIGHUP and when the file has changed, until the
// process ends.
func (r *reloader) run(hup <-chan os.Signal) {
	tick := time.NewTicker(settingsCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-hup:
			r.reload()
		case <-tick.C:
			if data, err := os.ReadFile(r.path); err == nil && !bytes.Equal(data, r.content) {
				r.reload()
			}
		}
	}
}

// reload reads the file and applies the settings. Settings that cannot change
// while the node runs are logged and take effect at the next start.
func (r *reloader) reload() {
	r.content, _ = os.ReadFile(r.path) // a file that cannot be read is reported below
	s, err := platform.LoadSettings(r.path)
	if err != nil {
		r.log.Error().Err(err).Msg("settings are invalid; the ones in force stay")
		return
	}
	if immutable := s.ImmutableChanges(r.inForce); len(immutable) > 0 {
		r.log.Warn().Str("settings", strings.Join(immutable, ",")).Msg("changed settings wait for the next start")
	}
	r.node.SetBounds(bounds(s))
	if s.StoreAddress != r.inForce.StoreAddress {
		r.store.SetAddress(storeURL(s))
	}
	setMemoryLimit(s)
	r.node.SetBufferBytes(bufferBytes(s))
	r.inForce = s
	r.log.Info().Dur("drain", s.Bounds.Drain).Dur("grace", s.Bounds.Grace).Dur("beat_interval", s.Bounds.HeartbeatInterval).
		Int("retry_slack", s.Bounds.RetrySlack).Dur("evacuation", s.Bounds.Evacuation).Str("store", s.StoreAddress).Int64("memory_bytes", s.MemoryBytes).Msg("settings read again")
}
