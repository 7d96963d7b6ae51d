// Package logservice implements the client of the platform's append-only log service. The service
// stores named streams of records with offsets and keeps each record for a limited time.
package logservice

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuehub/fescuehub/pkg/httpclient"
	"github.com/fescuehub/fescuehub/pkg/problem"
)

// Record is one record of a stream.
type Record struct {
	Offset int64 `json:"offset"`
	// TimeMS is the time at which the service accepted the record, in Unix milliseconds.
	TimeMS int64  `json:"timeMS"`
	Data   []byte `json:"data"`
}

// Page is a range of consecutive records of a stream.
type Page struct {
	// First is the offset of the oldest record that the service still holds.
	First int64 `json:"first"`
	// Next is the offset that the next append will get.
	Next    int64    `json:"next"`
	Records []Record `json:"records"`
}

// AppendReply is the reply to an append: the offset of the new record.
type AppendReply struct {
	Offset int64 `json:"offset"`
}

// MaxRecordBytes limits the size of one record.
const MaxRecordBytes = 1 << 20

const (
	// AppendTimeout limits the duration of one append.
	AppendTimeout = 3 * time.Second
	// readTimeoutMargin is added to the requested wait of a read to obtain its timeout.
	readTimeoutMargin = 3 * time.Second
	maxPageBytes      = 64 << 20
)

// Client calls one log service. It is safe for concurrent use.
type Client struct {
	base string
	http *http.Client
}

// New returns a client of the service at the base URL.
func New(base string) *Client {
	return &Client{base: base, http: httpclient.New()}
}

// Append adds a record to the stream and returns its offset. The error has the kind
// LogUnavailable. Its outcome is NotRun if the service was overloaded or unavailable or could not
// be reached, and NotKnown if the reply was lost or has any other status.
func (c *Client) Append(ctx context.Context, stream string, data []byte) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, AppendTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.recordsURL(stream), bytes.NewReader(data))
	if err != nil {
		return 0, unavailable(problem.NotRun, err)
	}
	res, err := c.http.Do(req)
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return 0, unavailable(problem.NotRun, err)
	}
	if err != nil {
		return 0, unavailable(problem.NotKnown, err)
	}
	defer res.Body.Close()
	if res.StatusCode == http.StatusServiceUnavailable || res.StatusCode == http.StatusTooManyRequests {
		return 0, unavailable(problem.NotRun, fmt.Errorf("status %d", res.StatusCode))
	}
	if res.StatusCode != http.StatusOK {
		return 0, unavailable(problem.NotKnown, fmt.Errorf("status %d", res.StatusCode))
	}
	var reply AppendReply
	if err := json.NewDecoder(io.LimitReader(res.Body, maxPageBytes)).Decode(&reply); err != nil {
		return 0, unavailable(problem.NotKnown, err)
	}
	return reply.Offset, nil
}

// Read returns up to limit records, starting at offset from. It waits up to wait for the first
// one. If Page.First is greater than from, the records in between have expired. The error has the
// kind LogUnavailable.
func (c *Client) Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+readTimeoutMargin)
	defer cancel()
	target := fmt.Sprintf("%s?from=%d&max=%d&waitMS=%d", c.recordsURL(stream), from, limit, wait.Milliseconds())
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return Page{}, unavailable(problem.NotRun, err)
	}
	res, err := c.http.Do(req)
	if err != nil {
		return Page{}, unavailable(problem.NotRun, err)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return Page{}, unavailable(problem.NotRun, fmt.Errorf("status %d", res.StatusCode))
	}
	var page Page
	if err := json.NewDecoder(io.LimitReader(res.Body, maxPageBytes)).Decode(&page); err != nil {
		return Page{}, unavailable(problem.NotRun, err)
	}
	return page, nil
}

func (c *Client) recordsURL(stream string) string {
	return c.base + "/streams/" + url.PathEscape(stream) + "/records"
}

func unavailable(outcome problem.Outcome, cause error) error {
	return problem.New(problem.LogUnavailable, "wait until the log service is available again; no other action is needed",
		"the request to the log service failed: %v", cause).WithOutcome(outcome)
}
