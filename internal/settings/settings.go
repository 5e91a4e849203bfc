// Package settings reads the node's settings from flags and environment
// variables and checks them together.
package settings

import (
	"cmp"
	"errors"
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"

	"nutmeghoist.example/nutmeghoist/internal/tlskeys"
	"nutmeghoist.example/nutmeghoist/pkg/finding"
	"nutmeghoist.example/nutmeghoist/pkg/mesh"
)

// options has strings for all values, so that every invalid value becomes a
// finding. go-flags would stop at the first value that it cannot convert.
type options struct {
	Host            string `long:"host" env:"NUTMEGHOIST_HOST" description:"name of this host, unique in the mesh"`
	DataCentre      string `long:"data-centre" env:"NUTMEGHOIST_DATA_CENTRE" description:"data centre of this host"`
	CallerAddress   string `long:"caller-address" env:"NUTMEGHOIST_CALLER_ADDRESS" default:"127.0.0.1:8080" description:"IP:port for callers (HTTP)"`
	CallAddress     string `long:"call-address" env:"NUTMEGHOIST_CALL_ADDRESS" default:"127.0.0.1:8443" description:"IP:port for calls from other nodes (TCP, TLS 1.3)"`
	PeerAddress     string `long:"peer-address" env:"NUTMEGHOIST_PEER_ADDRESS" default:"127.0.0.1:8444" description:"IP:port for control links (UDP, QUIC)"`
	AdvertisePeer   string `long:"advertise-peer-address" env:"NUTMEGHOIST_ADVERTISE_PEER_ADDRESS" description:"IP:port at which other hosts reach the peer address, when it differs"`
	AdvertiseCall   string `long:"advertise-call-address" env:"NUTMEGHOIST_ADVERTISE_CALL_ADDRESS" description:"IP:port at which other hosts reach the call address, when it differs"`
	AnnounceAddress string `long:"announce-address" env:"NUTMEGHOIST_ANNOUNCE_ADDRESS" default:"127.0.0.1:8081" description:"loopback IP:port where local targets announce themselves (HTTP)"`
	OperatorAddress string `long:"operator-address" env:"NUTMEGHOIST_OPERATOR_ADDRESS" default:"127.0.0.1:8082" description:"loopback IP:port for operators: status, metrics, readiness (HTTP)"`
	AllowRemote     bool   `long:"allow-remote-admin" env:"NUTMEGHOIST_ALLOW_REMOTE_ADMIN" description:"allow announce and operator addresses that are not loopback; they carry no authentication"`
	Platform        string `long:"platform" env:"NUTMEGHOIST_PLATFORM" default:"http://127.0.0.1:8500" description:"base URL of the platform's table and object store"`
	Seeds           string `long:"seeds" env:"NUTMEGHOIST_SEEDS" description:"comma-separated peer addresses to join through while the platform is unreachable"`
	CAFile          string `long:"ca-file" env:"NUTMEGHOIST_CA_FILE" description:"PEM file with the mesh's CA certificate"`
	CertFile        string `long:"cert-file" env:"NUTMEGHOIST_CERT_FILE" description:"PEM file with this host's certificate"`
	KeyFile         string `long:"key-file" env:"NUTMEGHOIST_KEY_FILE" description:"PEM file with this host's private key"`
	CRLFile         string `long:"crl-file" env:"NUTMEGHOIST_CRL_FILE" description:"PEM file with the revocation lists of the mesh's CAs; read again while the node runs"`
	DrainTimeout    string `long:"drain-timeout" env:"NUTMEGHOIST_DRAIN_TIMEOUT" default:"65s" description:"longest time a planned stop waits for calls in flight; longer than the longest route timeout (60s)"`
	LogLevel        string `long:"log-level" env:"NUTMEGHOIST_LOG_LEVEL" default:"info" description:"debug, info, warn or error"`
	MemoryLimit     string `long:"memory-limit-mb" env:"NUTMEGHOIST_MEMORY_LIMIT_MB" default:"256" description:"soft memory limit of the Go runtime in MB"`
	Processors      string `long:"max-processors" env:"NUTMEGHOIST_MAX_PROCESSORS" default:"4" description:"maximum number of processors that the node uses"`
	CheckSettings   bool   `long:"check-settings" description:"check the settings and exit"`
	Version         bool   `long:"version" description:"print the version and exit"`
}

// Settings are the checked settings of a node.
type Settings struct {
	Host            mesh.HostID
	DataCentre      mesh.DataCentre
	CallerAddress   netip.AddrPort
	CallAddress     netip.AddrPort
	PeerAddress     netip.AddrPort
	AdvertisePeer   netip.AddrPort // where other hosts reach PeerAddress
	AdvertiseCall   netip.AddrPort // where other hosts reach CallAddress
	AnnounceAddress netip.AddrPort
	OperatorAddress netip.AddrPort
	Platform        string
	Seeds           []string
	CAFile          string
	CertFile        string
	KeyFile         string
	CRLFile         string // "" without revocation lists
	DrainTimeout    time.Duration
	LogLevel        string
	MemoryLimit     int64 // bytes
	Processors      int

	CheckOnly   bool // --check-settings
	ShowVersion bool // --version
}

// ErrHelp means that the help was requested. Parse returns it as a HelpError.
var ErrHelp = errors.New("help")

// HelpError carries the help text.
type HelpError struct{ Text string }

func (e *HelpError) Error() string { return e.Text }

// Unwrap makes errors.Is match ErrHelp.
func (e *HelpError) Unwrap() error { return ErrHelp }

// Parse reads the settings from the arguments and the environment. It returns
// all invalid settings together as a finding.List.
func Parse(args []string) (*Settings, error) {
	var o options
	p := flags.NewParser(&o, flags.HelpFlag|flags.PassDoubleDash|flags.IgnoreUnknown)
	p.Name = "nutmeghoistd"
	rest, err := p.ParseArgs(args)
	if err != nil {
		var flagsErr *flags.Error
		if errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp {
			return nil, &HelpError{flagsErr.Message}
		}
		return nil, finding.List{{Message: err.Error()}}
	}
	if o.Version {
		return &Settings{ShowVersion: true}, nil
	}
	c := checker{}
	for _, a := range rest {
		c.add(a, "unknown argument", "see --help")
	}
	s := c.convert(&o)
	if err := c.list.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

type checker struct{ list finding.List }

// settingName returns the names of a setting as a flag and as an environment
// variable.
func settingName(name string) string {
	return "--" + name + " (NUTMEGHOIST_" + strings.ToUpper(strings.ReplaceAll(name, "-", "_")) + ")"
}

func (c *checker) add(where, message, suggestion string) {
	c.list.Add(finding.Finding{File: where, Message: message, Suggestion: suggestion})
}

func (c *checker) convert(o *options) *Settings {
	s := &Settings{
		Host:            mesh.HostID(c.name("host", o.Host)),
		DataCentre:      mesh.DataCentre(c.name("data-centre", o.DataCentre)),
		CallerAddress:   c.address("caller-address", o.CallerAddress),
		CallAddress:     c.address("call-address", o.CallAddress),
		PeerAddress:     c.address("peer-address", o.PeerAddress),
		AdvertisePeer:   c.address("advertise-peer-address", cmp.Or(o.AdvertisePeer, o.PeerAddress)),
		AdvertiseCall:   c.address("advertise-call-address", cmp.Or(o.AdvertiseCall, o.CallAddress)),
		AnnounceAddress: c.adminAddress("announce-address", o.AnnounceAddress, o.AllowRemote),
		OperatorAddress: c.adminAddress("operator-address", o.OperatorAddress, o.AllowRemote),
		Platform:        c.url("platform", o.Platform),
		Seeds:           c.seeds(o.Seeds),
		CAFile:          c.file("ca-file", o.CAFile),
		CertFile:        c.file("cert-file", o.CertFile),
		KeyFile:         c.file("key-file", o.KeyFile),
		CRLFile:         c.optionalFile("crl-file", o.CRLFile),
		DrainTimeout:    c.duration("drain-timeout", o.DrainTimeout, time.Second, 10*time.Minute),
		LogLevel:        c.logLevel("log-level", o.LogLevel),
		MemoryLimit:     c.megabytes("memory-limit-mb", o.MemoryLimit),
		Processors:      c.processors("max-processors", o.Processors),
		CheckOnly:       o.CheckSettings,
	}
	c.checkKeys(s)
	c.checkDistinct(s)
	return s
}

func (c *checker) name(setting, v string) string {
	if v == "" {
		c.add(settingName(setting), "is not set", "a name of letters, digits, '.', '-' and '_'")
		return v
	}
	valid := func(r rune) bool {
		return r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || strings.ContainsRune(".-_", r)
	}
	if len(v) > 63 || strings.ContainsFunc(v, func(r rune) bool { return !valid(r) }) {
		c.add(settingName(setting), fmt.Sprintf("%q is not a valid name", v), "at most 63 letters, digits, '.', '-' and '_'")
	}
	return v
}

func (c *checker) address(setting, v string) netip.AddrPort {
	a, err := netip.ParseAddrPort(v)
	if err != nil {
		c.add(settingName(setting), fmt.Sprintf("%q is not an address", v), "IP:port, for example 127.0.0.1:8080")
		return a
	}
	if a.Port() == 0 || a.Addr().IsUnspecified() {
		c.add(settingName(setting), fmt.Sprintf("%q cannot be reached by others", v), "a concrete IP and a port above 0")
	}
	return a
}

// adminAddress parses the address of an interface without authentication. It
// must be a loopback address unless others are allowed.
func (c *checker) adminAddress(setting, v string, allowRemote bool) netip.AddrPort {
	a := c.address(setting, v)
	if a.IsValid() && !a.Addr().IsLoopback() && !allowRemote {
		c.add(settingName(setting), fmt.Sprintf("%q is not a loopback address and carries no authentication", v), "a 127.0.0.0/8 address, or set --allow-remote-admin")
	}
	return a
}

func (c *checker) url(setting, v string) string {
	u, err := url.Parse(v)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		c.add(settingName(setting), fmt.Sprintf("%q is not a base URL", v), "http://IP:port")
	}
	return strings.TrimRight(v, "/")
}

func (c *checker) seeds(v string) []string {
	var seeds []string
	for _, s := range strings.Split(v, ",") {
		if s = strings.TrimSpace(s); s != "" {
			c.address("seeds", s)
			seeds = append(seeds, s)
		}
	}
	return seeds
}

func (c *checker) optionalFile(setting, v string) string {
	if v == "" {
		return v
	}
	return c.file(setting, v)
}

func (c *checker) file(setting, v string) string {
	if v == "" {
		c.add(settingName(setting), "is not set", "a PEM file, see nutmeghoist-keys")
		return v
	}
	if _, err := os.Stat(v); err != nil {
		c.add(settingName(setting), err.Error(), "a readable PEM file, see nutmeghoist-keys")
	}
	return v
}

// checkKeys reports a CA, certificate and key that do not match, or that belong
// to another host, at start instead of at the first connection.
func (c *checker) checkKeys(s *Settings) {
	for _, file := range []string{s.CAFile, s.CertFile, s.KeyFile} {
		if _, err := os.Stat(file); err != nil {
			return // reported with the setting
		}
	}
	keys, err := tlskeys.Load(s.CAFile, s.CertFile, s.KeyFile)
	if err != nil {
		c.add(settingName("cert-file"), err.Error(), "the certificate of this host and its key, signed by the CA of the mesh")
		return
	}
	if _, err := os.Stat(s.CRLFile); s.CRLFile != "" && err == nil {
		if err := keys.LoadRevocations(s.CRLFile); err != nil {
			c.add(settingName("crl-file"), err.Error(), "the revocation lists of the mesh's CAs, see nutmeghoist-keys --revoke")
		}
	}
	if keys.Host() != s.Host {
		c.add(settingName("cert-file"), fmt.Sprintf("certificate %s is for host %q, the settings name host %q", s.CertFile, keys.Host(), s.Host),
			"the certificate of this host")
	}
}

func (c *checker) duration(setting, v string, low, high time.Duration) time.Duration {
	d, err := time.ParseDuration(v)
	if err != nil || d < low || d > high {
		c.add(settingName(setting), fmt.Sprintf("%q is not a duration in range", v), fmt.Sprintf("%s to %s, for example 30s", low, high))
	}
	return d
}

func (c *checker) logLevel(setting, v string) string {
	switch v {
	case "debug", "info", "warn", "error":
	default:
		c.add(settingName(setting), fmt.Sprintf("%q is not a log level", v), "debug, info, warn or error")
	}
	return v
}

func (c *checker) megabytes(setting, v string) int64 {
	n, err := strconv.ParseInt(v, 10, 64)
	if err != nil || n < 32 || n > 65536 {
		c.add(settingName(setting), fmt.Sprintf("%q is not a size in range", v), "32 to 65536 (MB)")
	}
	return n << 20
}

func (c *checker) processors(setting, v string) int {
	n, err := strconv.Atoi(v)
	if err != nil || n < 1 || n > 256 {
		c.add(settingName(setting), fmt.Sprintf("%q is not a number in range", v), "1 to 256")
	}
	return n
}

// checkDistinct reports TCP listeners that share an address. The UDP listener
// may have the same address as a TCP listener.
func (c *checker) checkDistinct(s *Settings) {
	seen := map[netip.AddrPort]string{}
	for _, l := range []struct {
		setting string
		addr    netip.AddrPort
	}{
		{"caller-address", s.CallerAddress},
		{"call-address", s.CallAddress},
		{"announce-address", s.AnnounceAddress},
		{"operator-address", s.OperatorAddress},
	} {
		if other, ok := seen[l.addr]; ok && l.addr.IsValid() {
			c.add(settingName(l.setting), fmt.Sprintf("%s is also used by --%s", l.addr, other), "an address of its own")
		}
		seen[l.addr] = l.setting
	}
}
