// Package docs holds no code; its tests compare the pages with the code.
package docs

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// named are the patterns of the names that operators meet, each with the
// directories that it is searched in.
var named = []struct {
	what string
	dirs []string
	re   *regexp.Regexp
}{
	{"setting", []string{"cmd", "internal"}, regexp.MustCompile(`long:"([^"]+)"`)},
	{"variable", []string{"cmd", "internal"}, regexp.MustCompile(`env:"([^"]+)"`)},
	{"log event", []string{"cmd", "internal"}, regexp.MustCompile(`\.Msg\("([^"]+)"\)`)},
	{"metric", []string{"internal"}, regexp.MustCompile(`(?:count|metricsGauge|metricsCounter|GetOrRegister\w*)\("([^"]+[^"._])"`)},
	{"metric of links", []string{"internal/node"}, regexp.MustCompile(`"(links\.\w+)":`)},
	{"metric of the gossip", []string{"pkg/distribution"}, regexp.MustCompile(`Count\("([^"]+[^"_])"`)},
	{"link fault", []string{"pkg/distribution"}, regexp.MustCompile(`\bFault\w+ +Fault = "([^"]+)"`)},
	{"event of a target", []string{"internal/announce"}, regexp.MustCompile(`chart\.Event = "([^"]+)"`)},
	{"reason", []string{"internal/proxy", "pkg/retry"}, regexp.MustCompile(`\bReason\s+= "([^"]+)"`)},
	{"report", []string{"pkg/source"}, regexp.MustCompile(`ReportKind = "([^"]+)"`)},
	{"finding", []string{"pkg/rules"}, regexp.MustCompile(`(?:\badd\([^"\n]*|message, \w+ :?= (?:fmt\.Sprintf\()?)"([^"]+)"`)},
	{"path", []string{"internal/node", "internal/announce"}, regexp.MustCompile(`HandleFunc\("((?:GET|PUT|POST|DELETE) [^"]+)"`)},
}

// Guards against settings, signals and findings that the page for operators
// does not explain.
func TestOperationsNamesEverything(t *testing.T) {
	page, err := os.ReadFile("OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	text := normal(string(page))
	for _, n := range named {
		found := 0
		for _, dir := range n.dirs {
			for _, name := range names(t, filepath.Join("..", dir), n.re) {
				found++
				if !explains(text, name) {
					t.Errorf("%s %q of %s is not in OPERATIONS.md", n.what, name, dir)
				}
			}
		}
		if found == 0 {
			t.Errorf("no %s was found in the code", n.what)
		}
	}
}

// normal makes metric names and event names comparable with those of the code.
func normal(s string) string { return strings.NewReplacer(".", "_", "-", "_").Replace(s) }

var verb = regexp.MustCompile(`%[0-9]*[a-zA-Z]`)

// explains reports whether the page holds the fixed parts of a name or message.
func explains(page, name string) bool {
	for _, fixed := range verb.Split(name, -1) {
		if fixed = strings.Trim(fixed, ` ":,`); len(fixed) > 2 && !strings.Contains(page, normal(fixed)) {
			return false
		}
	}
	return true
}

func names(t *testing.T, dir string, re *regexp.Regexp) []string {
	t.Helper()
	var all []string
	err := filepath.WalkDir(dir, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		code, err := os.ReadFile(path)
		for _, m := range re.FindAllStringSubmatch(string(code), -1) {
			all = append(all, m[1])
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return all
}
