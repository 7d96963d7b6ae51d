// Package weightstore implements the client of the platform's rate-limited store of model weights.
package weightstore

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"

	"github.com/fescuehub/fescuehub/pkg/httpclient"
	"github.com/fescuehub/fescuehub/pkg/problem"
)

// Client reads objects from one weight store. It is safe for concurrent use.
type Client struct {
	base string
	http *http.Client
}

// New returns a client of the store at the base URL.
func New(base string) *Client {
	return &Client{base: base, http: httpclient.New()}
}

// Fetch reads one object to its end, discards the data and returns its size in bytes. The error
// has the kind Unavailable, also if the object ends early.
func (c *Client) Fetch(ctx context.Context, model, object string) (int64, error) {
	target := c.base + "/weights/" + url.PathEscape(model) + "/" + url.PathEscape(object)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return 0, unavailable(err)
	}
	res, err := c.http.Do(req)
	if err != nil {
		return 0, unavailable(err)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return 0, unavailable(fmt.Errorf("status %d", res.StatusCode))
	}
	n, err := io.Copy(io.Discard, res.Body)
	if err != nil {
		return n, unavailable(err)
	}
	return n, nil
}

func unavailable(cause error) error {
	return problem.New(problem.Unavailable, "retry after a pause; the current map stays in use",
		"the read from the weight store failed: %v", cause)
}
