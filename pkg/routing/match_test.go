package routing

import (
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"nutmeghoist.example/nutmeghoist/pkg/rules"
)

// Guards against a prefix that matches inside a segment, a method filter that
// hides a shorter prefix, and a shorter prefix that wins.
func TestMatch(t *testing.T) {
	m := NewMatcher([]rules.Rule{
		{Line: 1, Methods: []string{"GET"}, Prefix: "/menus"},
		{Line: 2, Prefix: "/menus/today/"},
		{Line: 3, Methods: []string{"POST"}, Prefix: "/menus/today/soup"},
		{Line: 4, Methods: []string{"GET", "POST"}, Prefix: "/pantry"},
	})
	for _, tc := range []struct {
		method, path string
		line         int
	}{
		{"GET", "/menus", 1},
		{"GET", "/menus/", 1},
		{"GET", "/menus2", 0},
		{"POST", "/menus", 0},
		{"GET", "/menus/today", 2},
		{"GET", "/menus/today/soup/hot/now/and/then", 2},
		{"POST", "/menus/today/soup/hot", 3},
		{"POST", "/menus/today/soups", 2},
		{"DELETE", "/pantry", 0},
		{"GET", "/", 0},
		{"GET", "", 0},
		{"OPTIONS", "*", 0},
	} {
		r := m.Match(tc.method, "menus.example:80", tc.path)
		if line := lineOf(r); line != tc.line {
			t.Errorf("%s %s: got rule %d, want %d", tc.method, tc.path, line, tc.line)
		}
	}
	if lineOf(NewMatcher([]rules.Rule{{Line: 9, Prefix: "/"}}).Match("GET", "", "/any/path")) != 9 {
		t.Error("a rule for / does not match every path")
	}
}

// Guards against a rule for a host that matches calls to other hosts, and against
// a rule without a host that takes precedence over it.
func TestMatchHost(t *testing.T) {
	m := NewMatcher([]rules.Rule{
		{Line: 1, Prefix: "/"},
		{Line: 2, Host: "menus.example", Prefix: "/menus"},
		{Line: 3, Prefix: "/menus/today"},
		{Line: 4, Host: "pantry.example", Methods: []string{"GET"}, Prefix: "/"},
	})
	for _, tc := range []struct {
		method, host, path string
		line               int
	}{
		{"GET", "menus.example", "/menus/today", 2},
		{"GET", "Menus.Example:8080", "/menus", 2},
		{"GET", "menus.example", "/orders", 1},
		{"GET", "other.example", "/menus/today", 3},
		{"GET", "", "/menus", 1},
		{"GET", "pantry.example", "/menus/today", 4},
		{"POST", "pantry.example", "/menus/today", 3},
	} {
		if line := lineOf(m.Match(tc.method, tc.host, tc.path)); line != tc.line {
			t.Errorf("%s %s%s: got rule %d, want %d", tc.method, tc.host, tc.path, line, tc.line)
		}
	}
}

func lineOf(r *rules.Rule) int {
	if r == nil {
		return 0
	}
	return r.Line
}

// Guards against a compiled matcher that disagrees with a linear search over the
// rules.
func TestMatchAgreesWithDefinition(t *testing.T) {
	path := rapid.Custom(func(t *rapid.T) string {
		return "/" + strings.Join(rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b", "ab", ""}), 0, 4).Draw(t, "segments"), "/")
	})
	method := rapid.SampledFrom([]string{"GET", "POST"})
	rapid.Check(t, func(t *rapid.T) {
		var list []rules.Rule
		taken := make(map[string]bool)
		for range rapid.IntRange(0, 8).Draw(t, "rules") {
			r := rules.Rule{Line: len(list) + 1, Prefix: strings.TrimRight(path.Draw(t, "prefix"), "/"), Methods: []string{method.Draw(t, "method")}}
			if key := r.Route(); !taken[key] {
				taken[key] = true
				list = append(list, r)
			}
		}
		p, m := path.Draw(t, "path"), method.Draw(t, "of the call")
		want := 0
		for i, r := range list {
			if (p == r.Prefix || strings.HasPrefix(p, r.Prefix+"/")) && slices.Contains(r.Methods, m) &&
				(want == 0 || len(r.Prefix) > len(list[want-1].Prefix)) {
				want = i + 1
			}
		}
		if got := lineOf(NewMatcher(list).Match(m, "", p)); got != want {
			t.Fatalf("%s %q in %+v: got rule %d, want %d", m, p, list, got, want)
		}
	})
}

// BenchmarkMatch matches among 10,000 rules, the maximum of a rules file.
func BenchmarkMatch(b *testing.B) {
	list := make([]rules.Rule, 10_000)
	for i := range list {
		list[i] = rules.Rule{Prefix: "/service" + strings.Repeat("x", i%40) + "/" + strings.Repeat("y", i/40), Methods: []string{"GET"}}
	}
	m := NewMatcher(list)
	b.ReportAllocs()
	for b.Loop() {
		m.Match("GET", "", "/servicexxx/yyyy/orders/7")
	}
}
