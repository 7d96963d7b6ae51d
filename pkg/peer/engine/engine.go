// Package engine holds the protocol of a model engine and its client: chat
// completions in the usual JSON, load reports, cache events and orders.
package engine

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/fescuehub/fescuehub/pkg/httpclient"
	"github.com/fescuehub/fescuehub/pkg/problem"
)

// Header names of the engine's protocol.
const (
	// RequestIDHeader names the request for cancellation.
	RequestIDHeader = "X-Request-Id"
	// PriorityHeader carries a whole number; higher runs first.
	PriorityHeader = "X-Priority"
)

// DoneMarker ends every stream of server-sent events.
const DoneMarker = "data: [DONE]"

// ResumeField is the name of ChatRequest.ResumeText in JSON.
const ResumeField = "resume_text"

// Message is one turn of a conversation.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ChatRequest is the part of a chat completion request that the system reads.
type ChatRequest struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages"`
	Stream    bool      `json:"stream,omitempty"`
	MaxTokens int       `json:"max_tokens,omitempty"`
	// Adapter names a fine-tuned adapter of the model.
	Adapter string `json:"adapter,omitempty"`
	// ResumeText is the text that the caller already has. An engine that
	// resumes continues after exactly this text.
	ResumeText string `json:"resume_text,omitempty"`
}

// Choice is one choice of an answer.
type Choice struct {
	Index        int      `json:"index"`
	Message      *Message `json:"message,omitempty"`
	Delta        *Message `json:"delta,omitempty"`
	FinishReason string   `json:"finish_reason,omitempty"`
}

// ChatAnswer is an answer, or one event of a streamed answer.
type ChatAnswer struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
}

// LoadReport is what an engine says of its load. It lags.
type LoadReport struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// StepMS is the time of a recent step in milliseconds.
	StepMS float64 `json:"stepMS"`
	// CanResume is true where the engine resumes a stream from a token.
	CanResume bool `json:"canResume"`
}

// CacheEvent tells that a prefix was stored in or evicted from the cache.
type CacheEvent struct {
	Seq    int64  `json:"seq"`
	Prefix uint64 `json:"prefix"`
	Stored bool   `json:"stored"`
}

// CacheEvents is a run of cache events. Sequence numbers may have gaps.
type CacheEvents struct {
	Next   int64        `json:"next"`
	Events []CacheEvent `json:"events"`
}

// OrderKind names what an order does.
type OrderKind string

// The kinds of order.
const (
	LoadModel   OrderKind = "load-model"
	LoadAdapter OrderKind = "load-adapter"
	ChangeRole  OrderKind = "change-role"
)

// Order tells an engine to load something or to change role.
type Order struct {
	Kind OrderKind `json:"kind"`
	// Fencing is the number of the lease under which the order is given.
	Fencing int64  `json:"fencing"`
	Target  string `json:"target"`
}

const (
	controlTimeout  = 2 * time.Second
	maxControlBytes = 1 << 20
)

// Client talks to one engine. It is safe for concurrent use.
type Client struct {
	base string
	http *http.Client
}

// New returns a client of the engine at the base URL.
func New(base string) *Client {
	return &Client{base: base, http: httpclient.New()}
}

// Complete sends a chat completion request. The caller closes the body of the
// response. The error has the kind BackendUnreachable.
func (c *Client) Complete(ctx context.Context, id string, priority int, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return nil, unreachable(err)
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(RequestIDHeader, id)
	req.Header.Set(PriorityHeader, fmt.Sprint(priority))
	res, err := c.http.Do(req)
	if err != nil {
		return nil, unreachable(err)
	}
	return res, nil
}

// Load reads the load report.
func (c *Client) Load(ctx context.Context) (LoadReport, error) {
	var report LoadReport
	err := c.get(ctx, "/load", &report)
	return report, err
}

func (c *Client) get(ctx context.Context, path string, into any) error {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	if err := httpclient.Get(ctx, c.http, c.base+path, maxControlBytes, into); err != nil {
		return unreachable(err)
	}
	return nil
}

func unreachable(cause error) error {
	return problem.New(problem.BackendUnreachable, "send the request again if it is idempotent",
		"the engine did not answer: %v", cause).WithOutcome(problem.NotKnown)
}
