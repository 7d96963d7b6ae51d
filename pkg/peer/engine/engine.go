// Package engine defines the protocol of a model engine and implements its client. The protocol
// covers chat completions in the usual JSON format, load reports, cache events, orders and the
// ranks of expert-parallel groups.
//
// An engine that refuses a completion without running it sets problem.OutcomeHeader to problem.NotRun, with status 429, 503,
// 408 or 421. No status alone means that.
package engine

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/fescuehub/fescuehub/pkg/httpclient"
	"github.com/fescuehub/fescuehub/pkg/httphead"
	"github.com/fescuehub/fescuehub/pkg/problem"
)

// Names of the headers in requests to an engine.
const (
	// RequestIDHeader carries the identifier by which a request can be cancelled.
	RequestIDHeader = "X-Request-Id"
	// PriorityHeader carries an integer; requests with a higher priority run first.
	PriorityHeader = "X-Priority"
)

// DoneMarker is the line that ends every stream of server-sent events.
const DoneMarker = "data: [DONE]"

// ResumeField is the name of ChatRequest.ResumeText in JSON.
const ResumeField = "resume_text"

// Message is one turn of a conversation.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ChatRequest is the part of a chat completion request that fescuehub reads.
type ChatRequest struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages"`
	Stream    bool      `json:"stream,omitempty"`
	MaxTokens int       `json:"max_tokens,omitempty"`
	// Adapter names a fine-tuned adapter of the model.
	Adapter string `json:"adapter,omitempty"`
	// ResumeText is the part of the answer that the caller has already received. An engine that
	// supports resumption continues after exactly this text.
	ResumeText string `json:"resume_text,omitempty"`
}

// Choice is one of the completions in an answer.
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

// LoadReport is the load of an engine. It lags behind the current load.
type LoadReport struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// StepMS is the duration of a recent step, in milliseconds.
	StepMS float64 `json:"stepMS"`
	// CanResume is true if the engine can resume a stream after a given token.
	CanResume bool `json:"canResume"`
}

// CacheEvent reports that a prefix was stored in the cache or, if Stored is false, evicted.
type CacheEvent struct {
	Seq    int64  `json:"seq"`
	Prefix uint64 `json:"prefix"`
	Stored bool   `json:"stored"`
}

// CacheEvents is a list of cache events. Their sequence numbers may have gaps.
type CacheEvents struct {
	// Next is the sequence number that the next event will get.
	Next   int64        `json:"next"`
	Events []CacheEvent `json:"events"`
}

// OrderKind is the action that an order requests.
type OrderKind string

// The kinds of orders.
const (
	LoadModel   OrderKind = "load-model"
	LoadAdapter OrderKind = "load-adapter"
	ChangeRole  OrderKind = "change-role"
)

// Order tells an engine to load a model or an adapter, or to change its role.
type Order struct {
	Kind OrderKind `json:"kind"`
	// Fencing is the fencing number of the lease under which the order is sent.
	Fencing int64 `json:"fencing"`
	// Target is the name of the model, adapter or role.
	Target string `json:"target"`
}

const (
	controlTimeout  = 2 * time.Second
	maxControlBytes = 1 << 20
)

// Client calls one engine. It is safe for concurrent use.
type Client struct {
	base string
	http *http.Client
}

// New returns a client of the engine at the base URL.
func New(base string) *Client {
	return &Client{base: base, http: httpclient.New()}
}

// Complete sends a chat completion request under the given request identifier. The caller must
// close the body of the response. The error has the kind MalformedAnswer if the response is not valid HTTP,
// and BackendUnreachable otherwise.
func (c *Client) Complete(ctx context.Context, id string, priority int, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return nil, unreachable(err)
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(RequestIDHeader, id)
	req.Header.Set(PriorityHeader, fmt.Sprint(priority))
	res, err := c.http.Do(req)
	if httphead.IsMalformed(err) {
		return nil, problem.New(problem.MalformedAnswer, "check the engine",
			"the response of the engine is not valid HTTP: %v", err).WithOutcome(problem.NotKnown)
	}
	if err != nil {
		return nil, unreachable(err)
	}
	return res, nil
}

// Load reads the load report. The error has the kind BackendUnreachable.
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
		"the request to the engine failed: %v", cause).WithOutcome(problem.NotKnown)
}
