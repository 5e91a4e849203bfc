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

// HeaderNext lists paths, separated by spaces. A target that runs a call with it
// calls the first path through its node and passes the others on, so that a
// chain of calls can be tested. The order number of each call in the chain is
// that of the call above with ".1" appended.
const HeaderNext = "Call-Next"

// passedOn are the headers that a call below takes from the call above.
var passedOn = []string{"Nutmeghoist-Depth", "Nutmeghoist-Retry-Budget", "Nutmeghoist-Class", "Nutmeghoist-Call"}

// callNext makes the next call of a chain, if the call asks for one.
func (t *Target) callNext(ctx context.Context, r *http.Request, order string) error {
	next, rest, _ := strings.Cut(strings.TrimSpace(r.Header.Get(HeaderNext)), " ")
	if next == "" {
		return nil
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, strings.TrimRight(t.o.CallerURL, "/")+next, nil)
	if err != nil {
		return fmt.Errorf("call %s: %w", next, err)
	}
	for _, name := range passedOn {
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
