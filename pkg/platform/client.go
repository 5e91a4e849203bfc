package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/dghubble/sling"
)

const (
	// DefaultTimeout bounds a request whose context has no deadline.
	DefaultTimeout = 2 * time.Second
	// MaxObjectSize bounds an object in bytes; a rules text is at most 1 MiB.
	MaxObjectSize = 4 << 20
	// MaxListLimit bounds the rows of one List.
	MaxListLimit = 1000

	maxTableResponse = 16 << 20 // bytes; MaxListLimit rows of 12 KB in base64
	maxEmptyResponse = 4 << 10  // bytes of an answer that carries no data
	maxIdleConns     = 16       // per client; a node rarely has more requests in flight
)

// Client speaks the platform's HTTP protocol. It implements Table, and Objects
// returns its ObjectStore; both have a Get, so that one type cannot be both.
// It is safe for concurrent use and repeats no request.
type Client struct {
	base *sling.Sling
	http *http.Client
}

var _ Table = (*Client)(nil)

// NewClient returns a client for the platform at baseURL. A nil httpClient
// means one with its own connection pool. Redirects are never followed,
// because a redirect could repeat a commit.
func NewClient(baseURL string, httpClient *http.Client) *Client {
	own := http.Client{Transport: &http.Transport{
		MaxIdleConns:        maxIdleConns,
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     30 * time.Second,
	}}
	if httpClient != nil {
		own = *httpClient
	}
	own.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Client{
		base: sling.New().Base(strings.TrimSuffix(baseURL, "/") + "/"),
		http: &own,
	}
}

// Get returns a row, or ErrNotFound.
func (c *Client) Get(ctx context.Context, key string) (Row, error) {
	what := "row " + strconv.Quote(key)
	body, err := c.do(ctx, request{
		what: what, read: true, limit: maxTableResponse,
		sling: c.base.New().Get("table/row/" + url.PathEscape(key)),
	})
	if err != nil {
		return Row{}, err
	}
	var row Row
	if err := decode(body, &row, what); err != nil {
		return Row{}, err
	}
	if row.Key != key {
		return Row{}, fmt.Errorf("%s: answer holds row %q", what, row.Key)
	}
	return row, nil
}

type listQuery struct {
	Prefix string `url:"prefix"`
	After  string `url:"after,omitempty"`
	Limit  int    `url:"limit"`
}

// List returns at most limit rows, and never more than MaxListLimit.
func (c *Client) List(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
	what := "rows " + strconv.Quote(prefix)
	if limit < 1 || limit > MaxListLimit {
		return nil, fmt.Errorf("%s: limit %d is not in 1 to %d", what, limit, MaxListLimit)
	}
	body, err := c.do(ctx, request{
		what: what, read: true, limit: maxTableResponse,
		sling: c.base.New().Get("table/rows").QueryStruct(&listQuery{prefix, after, limit}),
	})
	if err != nil {
		return nil, err
	}
	var rows []Row
	if err := decode(body, &rows, what); err != nil {
		return nil, err
	}
	if len(rows) > limit {
		return nil, fmt.Errorf("%s: answer holds %d rows, limit is %d", what, len(rows), limit)
	}
	return rows, nil
}

// Commit applies a transaction. It is sent at most once.
func (c *Client) Commit(ctx context.Context, txn Txn) error {
	_, err := c.do(ctx, request{
		what: "commit " + txnName(txn), limit: maxEmptyResponse,
		sling: c.base.New().Post("table/commit").BodyJSON(txn),
	})
	return err
}

func decode(body []byte, into any, what string) error {
	if err := json.Unmarshal(body, into); err != nil {
		return fmt.Errorf("%s: cannot decode the answer: %w", what, err)
	}
	return nil
}

// txnName names a transaction by the rows it writes.
func txnName(txn Txn) string {
	keys := make([]string, len(txn.Writes))
	for i, w := range txn.Writes {
		keys[i] = w.Key
	}
	return strings.Join(keys, ",")
}
