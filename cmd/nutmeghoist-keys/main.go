// Command nutmeghoist-keys creates the CA of a mesh and a certificate for each
// of its hosts, and revokes certificates.
package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"

	"nutmeghoist.example/nutmeghoist/internal/tlskeys"
	"nutmeghoist.example/nutmeghoist/pkg/mesh"
)

const exitUsage = 2

type settings struct {
	Dir    string `long:"dir" default:"keys" description:"directory for the PEM files"`
	CA     string `long:"ca-name" default:"nutmeghoist mesh" description:"name of a new CA"`
	Days   int    `long:"days" default:"365" description:"days that new certificates are valid"`
	Revoke bool   `long:"revoke" description:"add the certificates of the hosts to crl.pem instead of creating new ones"`
	Args   struct {
		Hosts []string `positional-arg-name:"HOST[=IP,IP]" description:"hosts to create certificates for"`
	} `positional-args:"yes"`
}

func main() {
	var s settings
	if _, err := flags.Parse(&s); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(exitUsage)
	}
	if err := run(&s); err != nil {
		fmt.Fprintln(os.Stderr, "nutmeghoist-keys:", err)
		os.Exit(1)
	}
}

// run creates the CA if the directory has none, and then the certificates.
func run(s *settings) error {
	if s.Days < 1 {
		return fmt.Errorf("--days %d is not positive", s.Days)
	}
	validFor := time.Duration(s.Days) * 24 * time.Hour
	if err := os.MkdirAll(s.Dir, 0o755); err != nil {
		return err
	}
	ca, err := openCA(s, validFor)
	if err != nil {
		return err
	}
	if s.Revoke {
		return revoke(ca, s)
	}
	for _, arg := range s.Args.Hosts {
		host, ips, err := parseHost(arg)
		if err != nil {
			return err
		}
		cert, key := filepath.Join(s.Dir, host+".pem"), filepath.Join(s.Dir, host+"-key.pem")
		if err := ca.IssueHostCertificate(mesh.HostID(host), ips, validFor, cert, key); err != nil {
			return err
		}
	}
	return nil
}

func crlFile(s *settings) string { return filepath.Join(s.Dir, "crl.pem") }

// revoke adds the certificates of the hosts to the revocation list.
func revoke(ca *tlskeys.CA, s *settings) error {
	if len(s.Args.Hosts) == 0 {
		return errors.New("--revoke needs the hosts whose certificates are revoked")
	}
	var files []string
	for _, arg := range s.Args.Hosts {
		host, _, err := parseHost(arg)
		if err != nil {
			return err
		}
		files = append(files, filepath.Join(s.Dir, host+".pem"))
	}
	return ca.Revoke(crlFile(s), files...)
}

// openCA loads the CA of the directory, or creates it with an empty revocation list.
func openCA(s *settings, validFor time.Duration) (*tlskeys.CA, error) {
	cert, key := filepath.Join(s.Dir, "ca.pem"), filepath.Join(s.Dir, "ca-key.pem")
	if _, err := os.Stat(cert); !errors.Is(err, os.ErrNotExist) {
		return tlskeys.LoadCA(cert, key)
	}
	if s.Revoke {
		return nil, fmt.Errorf("directory %s has no CA whose certificates could be revoked", s.Dir)
	}
	ca, err := tlskeys.NewCA(s.CA, validFor)
	if err != nil {
		return nil, err
	}
	if err := ca.Write(cert, key); err != nil {
		return nil, err
	}
	return ca, ca.Revoke(crlFile(s))
}

func parseHost(arg string) (string, []net.IP, error) {
	host, list, _ := strings.Cut(arg, "=")
	if host == "" || host == "ca" || strings.ContainsAny(host, `/\ `) {
		return "", nil, fmt.Errorf("host %q is not a valid host ID", host)
	}
	var ips []net.IP
	for _, s := range strings.Split(list, ",") {
		if s == "" {
			continue
		}
		ip := net.ParseIP(s)
		if ip == nil {
			return "", nil, fmt.Errorf("host %s: %q is not an IP address", host, s)
		}
		ips = append(ips, ip)
	}
	return host, ips, nil
}
