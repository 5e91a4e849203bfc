// Command nutmeghoist-sidecar is the node that runs beside a target on the
// users' platform.
package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"

	"nutmeghoist.example/nutmeghoist/internal/control"
	"nutmeghoist.example/nutmeghoist/internal/sidecar"
	"nutmeghoist.example/nutmeghoist/internal/telemetry"
	"nutmeghoist.example/nutmeghoist/platform"
)

// version is set at build time with -ldflags "-X main.version=...".
var version = "dev"

// Exit codes.
const (
	exitOK       = 0
	exitFailed   = 1
	exitSettings = 2
)

type options struct {
	MetricsPort uint16 `long:"metrics-port" env:"NUTMEGHOIST_METRICS_PORT" default:"9464" description:"port for metrics on the host's address (HTTP)"`
	Advertise   string `long:"advertise-address" env:"NUTMEGHOIST_ADVERTISE_ADDRESS" description:"IP:port at which other nodes reach this one, when it differs from the platform's settings"`
	LogLevel    string `long:"log-level" env:"NUTMEGHOIST_LOG_LEVEL" default:"info" choice:"debug" choice:"info" choice:"warn" choice:"error" description:"lowest level of log lines"`
	Check       bool   `long:"check-settings" description:"check the settings and exit"`
	Version     bool   `long:"version" description:"print the version and exit"`
}

func main() { os.Exit(run()) }

func run() int {
	hup := notifyHangUps()
	var o options
	if _, err := flags.Parse(&o); err != nil {
		var flagsErr *flags.Error
		if errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp {
			return exitOK
		}
		return exitSettings
	}
	if o.Version {
		fmt.Println("nutmeghoist-sidecar", version)
		return exitOK
	}
	path := os.Getenv(platform.SettingsVariable)
	settings, err := platform.LoadSettings(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	var advertise netip.AddrPort
	if o.Advertise != "" {
		if advertise, err = netip.ParseAddrPort(o.Advertise); err != nil {
			fmt.Fprintf(os.Stderr, "--advertise-address: %q is not IP:port (for example 10.1.0.38:8146)\n", o.Advertise)
			return exitSettings
		}
	}
	if o.Check {
		fmt.Println("settings are valid")
		return exitOK
	}
	debug.SetGCPercent(gcPercent)
	setMemoryLimit(settings)
	out := telemetry.NewAsyncWriter(os.Stdout)
	defer out.Flush(200 * time.Millisecond)
	logger := telemetry.NewLogger(out, o.LogLevel, string(settings.Host))
	registry := metrics.NewRegistry()
	store := platform.NewStore(storeURL(settings), registry)
	cfg := config(settings, &o, store, registry, logger)
	cfg.AdvertiseAddress = advertise
	s, err := sidecar.New(cfg)
	if err != nil {
		logger.Error().Err(err).Msg("node cannot start")
		return exitFailed
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	go tuneCollector(ctx, s.TakesLargeBodies)
	go newReloader(path, settings, s, store, logger).run(hup)
	if err := s.Run(ctx); err != nil {
		return exitFailed
	}
	return exitOK
}

func config(settings *platform.Settings, o *options, store *platform.Store, registry metrics.Registry, logger *log.Logger) sidecar.Config {
	return sidecar.Config{
		Host: settings.Host, DataCentre: settings.DataCentre, IP: settings.IP, Service: settings.Service,
		CallerAddress: settings.CallerAddress, CallAddress: settings.CallAddress,
		ReadyAddress: settings.ReadyAddress, AnnounceAddress: settings.AnnounceAddress,
		MetricsAddress: netip.AddrPortFrom(settings.IP, o.MetricsPort),
		HeaderNames:    platform.Headers, ParentID: platform.ParentID, Bounds: bounds(settings), FirstStart: settings.FirstStart,
		Store: store,
		Codec: control.RowCodec{
			Table: platform.OperatorTable, ConfigKey: platform.ConfigKey,
			DecodeConfig: platform.DecodeConfig, DecodeOrder: platform.DecodeOrder,
			StatusKey: platform.StatusKey, EncodeStatus: platform.EncodeStatus,
		},
		AnnounceHandler: func(a sidecar.Announcements) http.Handler { return platform.AnnounceHandler(a) },
		ReadyHandler:    platform.ReadyHandler,
		BufferBytes:     bufferBytes(settings),
		Metrics:         registry, Log: logger,
	}
}
