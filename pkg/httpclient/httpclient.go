// Package httpclient exchanges JSON documents over HTTP on behalf of the packages that implement the
// client of one kind of peer. It uses no proxy.
package httpclient

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/fescuehub/fescuehub/pkg/netconn"
)

const (
	// maxIdleConnsPerHost limits the idle connections to one address.
	maxIdleConnsPerHost = 256
	// maxHeadBytes bounds the head of a response.
	maxHeadBytes = 64 << 10
)

// New returns a client without a proxy. It sets no timeout; the context of a
// request limits its duration.
func New() *http.Client { return &http.Client{Transport: NewTransport()} }

// NewTransport returns a transport without a proxy.
func NewTransport() *http.Transport {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.Proxy = nil
	transport.DialContext = DialWith(transport.DialContext)
	transport.MaxIdleConnsPerHost = maxIdleConnsPerHost
	transport.MaxResponseHeaderBytes = maxHeadBytes
	return transport
}

// DialFunc opens a connection, as in http.Transport.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// DialWith returns a function that opens connections with dial whose reads report the errors of writes: net/http writes
// the body of a request and reads the response at the same time.
func DialWith(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		nc, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return netconn.NewClient(nc), nil
	}
}

// StatusError reports a response with a status other than 200.
type StatusError struct {
	Status int
	// Body is the body of the response, truncated to the maxBytes of the call.
	Body []byte
}

// Error implements the error interface.
func (e *StatusError) Error() string { return fmt.Sprintf("status %d", e.Status) }

// Get decodes a JSON document of at most maxBytes bytes into the value that into points to. A response
// with a status other than 200 is an error of type *StatusError.
func Get(ctx context.Context, c *http.Client, url string, maxBytes int64, into any) error {
	return call(ctx, c, http.MethodGet, url, nil, nil, maxBytes, into)
}

// GetWithHeader is Get with a request header.
func GetWithHeader(ctx context.Context, c *http.Client, url string, header http.Header, maxBytes int64, into any) error {
	return call(ctx, c, http.MethodGet, url, header, nil, maxBytes, into)
}

// Post sends a JSON document and reads the response as Get does. If into is nil, the body of the
// response is discarded.
func Post(ctx context.Context, c *http.Client, url string, body any, maxBytes int64, into any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return errors.Wrap(err, "encode request body")
	}
	return call(ctx, c, http.MethodPost, url, nil, bytes.NewReader(data), maxBytes, into)
}

func call(ctx context.Context, c *http.Client, method, url string, header http.Header, body io.Reader, maxBytes int64, into any) error {
	req, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return errors.Wrap(err, "create request")
	}
	maps.Copy(req.Header, header)
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	res, err := c.Do(req)
	if err != nil {
		return errors.WithStack(err)
	}
	defer res.Body.Close()
	limited := io.LimitReader(res.Body, maxBytes)
	if res.StatusCode != http.StatusOK {
		data, _ := io.ReadAll(limited)
		return &StatusError{Status: res.StatusCode, Body: data}
	}
	if into == nil {
		return nil
	}
	return errors.Wrap(json.NewDecoder(limited).Decode(into), "decode response body")
}
