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
	// memoryShare is the part of the memory of the platform's settings that the Go
	// runtime aims to stay below.
	memoryShare = 0.6
	// settingsPeriod is how often the settings file is looked at, since it can
	// change without a signal.
	settingsPeriod = time.Second
)

func storeURL(s *platform.Settings) string { return "http://" + s.StoreAddress }

func bounds(s *platform.Settings) sidecar.Bounds {
	return sidecar.Bounds{
		Bounds: owner.Bounds{Drain: s.Bounds.Drain, HeartbeatInterval: s.Bounds.HeartbeatInterval},
		Grace:  s.Bounds.Grace, RetrySlack: s.Bounds.RetrySlack,
	}
}

func limitMemory(s *platform.Settings) {
	debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryBytes)))
}

// reloader brings changed settings into force while the node serves.
type reloader struct {
	path  string
	inUse *platform.Settings
	seen  []byte // the file as it was read last
	node  interface{ SetBounds(sidecar.Bounds) }
	store interface{ SetAddress(baseURL string) }
	log   *log.Logger
}

func newReloader(path string, s *platform.Settings, node *sidecar.Sidecar, store *platform.Store, logger *log.Logger) *reloader {
	seen, _ := os.ReadFile(path) // when it fails, the next look reads the settings again
	return &reloader{path: path, inUse: s, seen: seen, node: node, store: store, log: logger}
}

// hangUps returns the hang-up signals of the process from now until its end. Left
// to its default, the signal would end a node that starts, or one that stops and
// has calls in flight.
func hangUps() <-chan os.Signal {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	return hup
}

// run follows the file and the hang-up signals until the process ends.
func (r *reloader) run(hup <-chan os.Signal) {
	tick := time.NewTicker(settingsPeriod)
	defer tick.Stop()
	for {
		select {
		case <-hup:
			r.reload()
		case <-tick.C:
			if data, err := os.ReadFile(r.path); err == nil && !bytes.Equal(data, r.seen) {
				r.reload()
			}
		}
	}
}

// reload reads the file. Settings that cannot change while the node runs are
// logged and wait for the next start.
func (r *reloader) reload() {
	r.seen, _ = os.ReadFile(r.path) // a file that cannot be read is reported below
	s, err := platform.LoadSettings(r.path)
	if err != nil {
		r.log.Error().Err(err).Msg("settings are invalid; the ones in force stay")
		return
	}
	if fixed := s.ImmutableChanges(r.inUse); len(fixed) > 0 {
		r.log.Warn().Str("settings", strings.Join(fixed, ",")).Msg("changed settings wait for the next start")
	}
	r.node.SetBounds(bounds(s))
	if s.StoreAddress != r.inUse.StoreAddress {
		r.store.SetAddress(storeURL(s))
	}
	limitMemory(s)
	r.inUse = s
	r.log.Info().Dur("drain", s.Bounds.Drain).Dur("grace", s.Bounds.Grace).Dur("beat_interval", s.Bounds.HeartbeatInterval).
		Int("retry_slack", s.Bounds.RetrySlack).Str("store", s.StoreAddress).Int64("memory_bytes", s.MemoryBytes).Msg("settings read again")
}
