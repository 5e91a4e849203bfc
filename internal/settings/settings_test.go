package settings

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"nutmeghoist.example/nutmeghoist/internal/tlskeys"
	"nutmeghoist.example/nutmeghoist/pkg/finding"
)

func pemFileArgs(t *testing.T) []string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "x.pem")
	if err := os.WriteFile(path, []byte("x"), 0o600); err != nil {
		t.Fatal(err)
	}
	return []string{"--ca-file", path, "--cert-file", path}
}

// Guards against invalid settings that are reported one at a time, so that an
// operator needs one start for each.
func TestParseReportsAllWrongSettings(t *testing.T) {
	tests := []struct {
		name string
		args []string
		want int
	}{
		{"nothing set", nil, 5}, // host, data centre, three files
		{"wrong values", append(pemFileArgs(t), "--host", "a b", "--data-centre", "north", "--key-file", "/nonexistent",
			"--caller-address", "localhost:80", "--drain-timeout", "soon", "--log-level", "loud", "--platform", "platform"), 6},
		{"remote admin", append(pemFileArgs(t), "--host", "h1", "--data-centre", "north", "--key-file", "/nonexistent",
			"--operator-address", "10.0.0.1:8082"), 2},
		{"unknown flag", append(pemFileArgs(t), "--host", "h1", "--data-centre", "north", "--key-file", "/nonexistent", "--colour"), 2},
		{"shared address", append(pemFileArgs(t), "--host", "h1", "--data-centre", "north", "--key-file", "/nonexistent",
			"--caller-address", "127.0.0.1:8443"), 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := Parse(tt.args)
			var l finding.List
			if !errors.As(err, &l) || len(l) != tt.want {
				t.Fatalf("got %d findings, want %d:\n%v", len(l), tt.want, err)
			}
		})
	}
}

// Guards against a certificate of another host that passes --check-settings, so
// that the node fails only when it starts.
func TestParseChecksTheHostOfTheCertificate(t *testing.T) {
	dir := t.TempDir()
	path := func(name string) string { return filepath.Join(dir, name) }
	ca, err := tlskeys.NewCA("mesh", time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	if err := errors.Join(ca.Write(path("ca.pem"), path("ca-key.pem")),
		ca.IssueHostCertificate("h1", nil, time.Hour, path("h1.pem"), path("h1-key.pem"))); err != nil {
		t.Fatal(err)
	}
	args := func(host string) []string {
		return []string{
			"--host", host, "--data-centre", "north", "--check-settings",
			"--ca-file", path("ca.pem"), "--cert-file", path("h1.pem"), "--key-file", path("h1-key.pem"),
		}
	}
	if _, err := Parse(args("h1")); err != nil {
		t.Fatal(err)
	}
	if _, err := Parse(args("h2")); err == nil || !strings.Contains(err.Error(), `is for host "h1"`) {
		t.Fatalf("got %v", err)
	}
}

// Guards against revocation lists that cannot be used and pass --check-settings.
func TestParseChecksRevocationLists(t *testing.T) {
	dir := t.TempDir()
	path := func(name string) string { return filepath.Join(dir, name) }
	ca, err := tlskeys.NewCA("mesh", time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	if err := errors.Join(ca.Write(path("ca.pem"), path("ca-key.pem")), ca.Revoke(path("empty-list.pem")),
		ca.IssueHostCertificate("h1", nil, time.Hour, path("h1.pem"), path("h1-key.pem")),
		ca.Revoke(path("list.pem"), path("h1.pem")), os.WriteFile(path("damaged.pem"), []byte("list"), 0o600)); err != nil {
		t.Fatal(err)
	}
	for file, message := range map[string]string{
		"": "", "empty-list.pem": "", "list.pem": "certificate is revoked",
		"damaged.pem": "no PEM revocation list", "missing.pem": "no such file",
	} {
		args := []string{
			"--host", "h1", "--data-centre", "north", "--check-settings",
			"--ca-file", path("ca.pem"), "--cert-file", path("h1.pem"), "--key-file", path("h1-key.pem"),
		}
		if file != "" {
			args = append(args, "--crl-file", path(file))
		}
		if _, err := Parse(args); (message == "") != (err == nil) || err != nil && !strings.Contains(err.Error(), message) {
			t.Errorf("%q: %v", file, err)
		}
	}
}

// Guards against settings that are read from flags only.
func TestParseReadsEnvironment(t *testing.T) {
	t.Setenv("NUTMEGHOIST_HOST", "not a name")
	_, err := Parse(nil)
	var l finding.List
	if !errors.As(err, &l) || l[0].Message != `"not a name" is not a valid name` {
		t.Fatalf("got %v", err)
	}
}
