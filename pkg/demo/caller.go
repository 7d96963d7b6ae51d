package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/fescuehub/fescuehub/pkg/entry"
	"github.com/fescuehub/fescuehub/pkg/ident"
	"github.com/fescuehub/fescuehub/pkg/peer/engine"
	"github.com/fescuehub/fescuehub/pkg/peer/plainservice"
	"github.com/fescuehub/fescuehub/pkg/problem"
	standin "github.com/fescuehub/fescuehub/pkg/standin/engine"
)

const answerTokens = 24

// caller sends requests of one organisation to one entry.
type caller struct {
	address    string
	deployment Deployment
}

// answer is the response to a request. complete is set for a response that was received in full
// and, for a model request, has the expected text.
type answer struct {
	request  string
	status   int
	outcome  string
	complete bool
	elapsed  time.Duration
	detail   string
}

// String returns the answer on one line.
func (a answer) String() string {
	return fmt.Sprintf("%s: status %d, outcome %s, complete %t, %d ms %s", a.request, a.status, a.outcome, a.complete, a.elapsed.Milliseconds(), a.detail)
}

func newKey() string { return ident.NewKey() }

// newCaller queries the entry for addresses and returns a caller of the first one.
func newCaller(ctx context.Context, entryAddress string, d Deployment) (*caller, error) {
	var a entry.AddressAnswer
	if err := getJSON(ctx, "http://"+entryAddress+"/v1/addresses", &a); err != nil {
		return nil, err
	}
	if len(a.Addresses) == 0 {
		return nil, problem.New(problem.Unavailable, "run the demo again", "the entry returned no addresses")
	}
	return &caller{address: a.Addresses[0].Address, deployment: d}, nil
}

// sendModelRequest sends a model request and checks that the response is complete and belongs to
// the request.
func (c *caller) sendModelRequest(ctx context.Context, prompt string, stream bool) (answer, error) {
	request := engine.ChatRequest{
		Model: c.deployment.ModelRoute, Stream: stream, MaxTokens: answerTokens,
		Messages: []engine.Message{{Role: "user", Content: prompt}},
	}
	body, err := json.Marshal(request)
	if err != nil {
		return answer{}, err
	}
	start := time.Now()
	res, err := c.post(ctx, "/v1/chat/completions", "", body)
	if err != nil {
		return answer{}, err
	}
	defer res.Body.Close()
	a := answer{request: fmt.Sprintf("model request stream=%t", stream), status: res.StatusCode, outcome: res.Header.Get(problem.OutcomeHeader)}
	text, err := readText(res.Body, stream)
	a.elapsed = time.Since(start)
	a.complete = err == nil && text == standin.FullAnswer(request)
	return a, err
}

// sendWrite sends an unrepeatable write with an idempotency key.
func (c *caller) sendWrite(ctx context.Context, path, key, body string) (answer, error) {
	start := time.Now()
	res, err := c.post(ctx, "/services/"+c.deployment.ServiceRoute+"/"+path, key, []byte(body))
	if err != nil {
		return answer{}, err
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	return answer{
		request: "POST " + path, status: res.StatusCode, outcome: res.Header.Get(problem.OutcomeHeader),
		complete: err == nil && json.Valid(data), elapsed: time.Since(start), detail: strings.TrimSpace(string(data)),
	}, err
}

func (c *caller) post(ctx context.Context, path, key string, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.address+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(entry.OrganisationHeader, c.deployment.Organisations[0])
	if key != "" {
		req.Header.Set(plainservice.KeyHeader, key)
	}
	return http.DefaultClient.Do(req)
}

// readText returns the text of a response. It returns an error for a stream that ends without its
// end marker or with an error event.
func readText(body io.Reader, stream bool) (string, error) {
	if !stream {
		var a engine.ChatAnswer
		if err := json.NewDecoder(body).Decode(&a); err != nil || len(a.Choices) == 0 {
			return "", fmt.Errorf("malformed model response: %w", err)
		}
		return a.Choices[0].Message.Content, nil
	}
	var text strings.Builder
	reader := engine.NewStreamReader(body)
	for {
		part, done, err := reader.Next()
		if err != nil || done {
			return text.String(), err
		}
		text.WriteString(part)
	}
}
