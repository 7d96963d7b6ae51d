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
	"net/http"

	"github.com/cockroachdb/errors"
)

// New returns a client without a proxy. It sets no timeout; the context of a
// request limits its duration.
func New() *http.Client { return &http.Client{Transport: NewTransport(nil)} }

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
