// Package plainservice implements the client of a plain HTTP service, a backend server that is not
// a model engine.
//
// A service that refuses a call without executing it sets problem.OutcomeHeader to problem.NotRun, with status 429, 503, 408
// or 421. No status alone means that.
package plainservice

import (
	"bytes"
	"context"
	"net"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/fescuehub/fescuehub/pkg/httpclient"
	"github.com/fescuehub/fescuehub/pkg/httphead"
	"github.com/fescuehub/fescuehub/pkg/problem"
)

// KeyHeader carries the idempotency key of a call.
const KeyHeader = "Idempotency-Key"

// Call is one call of a plain service.
type Call struct {
	Method string
	// Path includes the query and begins with a slash.
	Path   string
	Header http.Header
	Body   []byte
}

// Client calls one plain service. It is safe for concurrent use.
type Client struct {
	base string
	http *http.Client
}

// New returns a client of the service at the base URL. The client never resends a call.
func New(base string) *Client {
	transport := httpclient.NewTransport(nil)
	// If the service closes an idle connection, net/http resends some calls on another one. A new
	// connection for each call prevents that.
	transport.DisableKeepAlives = true
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Client{base: base, http: &http.Client{Transport: transport, CheckRedirect: noRedirect}}
}

// Do sends the call once. The caller must close the body of the response. The error has the kind
// MalformedAnswer if the response is not valid HTTP, and BackendUnreachable otherwise; the outcome is NotRun
// only if no request could be made or no connection could be opened.
func (c *Client) Do(ctx context.Context, call Call) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, call.Method, c.base+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return nil, unreachable(err).WithOutcome(problem.NotRun)
	}
	req.Header = call.Header.Clone()
	if req.Header == nil {
		req.Header = make(http.Header)
	}
	res, err := c.http.Do(req)
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return nil, unreachable(err).WithOutcome(problem.NotRun)
	}
	if err != nil {
		return nil, unreachable(err)
	}
	return res, nil
}

func unreachable(cause error) *problem.Error {
	if httphead.IsMalformed(cause) {
		return problem.New(problem.MalformedAnswer, "check at the service whether the action was carried out, and the service itself",
			"the response of the service is not valid HTTP: %v", cause).WithOutcome(problem.NotKnown)
	}
	return problem.New(problem.BackendUnreachable, "check at the service whether the action was carried out before sending it under a new key",
		"the service did not answer: %v", cause).WithOutcome(problem.NotKnown)
}
