package source_test

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/rcrowley/go-metrics"

	"nutmeghoist.example/nutmeghoist/pkg/platform/platformtest"
	"nutmeghoist.example/nutmeghoist/pkg/source"
	"nutmeghoist.example/nutmeghoist/platform"
)

// BenchmarkAccept accepts a text of 1,000 rules over HTTP on loopback, against
// a platform without rate limits.
func BenchmarkAccept(b *testing.B) {
	var text strings.Builder
	for i := range 1000 {
		fmt.Fprintf(&text, "route GET /prefix/%d to service-%d v1 # Oyuna: benchmark\n", i, i%140)
	}
	store := platformtest.NewWithRates(-1, -1)
	server := httptest.NewServer(platform.StoreHandler(store))
	defer server.Close()
	client := platform.NewStore(server.URL, metrics.NewRegistry())
	s := source.New(client, client.Objects())
	b.SetBytes(int64(text.Len()))
	b.ReportAllocs()
	var head source.Head
	for n := 0; b.Loop(); n++ {
		body := fmt.Appendf(nil, "%s# %d\n", text.String(), n)
		h, err := s.Accept(b.Context(), source.Submission{Text: body, Base: head, Author: "Oyuna", Token: fmt.Sprint(n)})
		if err != nil {
			b.Fatal(err)
		}
		head = h
	}
}
