package standin

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"nutmeghoist.example/nutmeghoist/internal/answer"
)

// HeaderNext carries a space-separated list of paths. A target that runs a call
// with this header calls the first path through its node and forwards the
// remaining paths, so that chains of calls can be tested. The order number of
// each call in the chain is that of its parent call with ".1" appended.
const HeaderNext = "Call-Next"

// forwardedHeaders are copied from a call to its child call.
var forwardedHeaders = []string{"Nutmeghoist-Depth", "Nutmeghoist-Retry-Budget", "Nutmeghoist-Class", "Nutmeghoist-Call"}

// callNext places the next call of a chain if the request has HeaderNext.
func (t *Target) callNext(ctx context.Context, r *http.Request, order string) error {
	next, rest, _ := strings.Cut(strings.TrimSpace(r.Header.Get(HeaderNext)), " ")
	if next == "" {
		return nil
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, strings.TrimRight(t.options.CallerURL, "/")+next, nil)
	if err != nil {
		return fmt.Errorf("call %s: %w", next, err)
	}
	for _, name := range forwardedHeaders {
		if v := r.Header.Get(name); v != "" {
			req.Header.Set(name, v)
		}
	}
	if deadline, ok := ctx.Deadline(); ok {
		req.Header.Set(timeoutHeader, strconv.FormatInt(max(time.Until(deadline).Milliseconds(), 0), 10))
	}
	if rest != "" {
		req.Header.Set(HeaderNext, rest)
	}
	order += ".1"
	req.Header.Set(answer.HeaderOrder, order)
	resp, err := t.caller.Do(req)
	if err != nil {
		return fmt.Errorf("call %s: %w", next, err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBodySize))
	if err != nil {
		return fmt.Errorf("call %s: %w", next, err)
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("call %s: %s: %s", next, resp.Status, strings.TrimSpace(string(body)))
	}
	return answer.Verify(http.MethodGet, order, resp.Header, body)
}
