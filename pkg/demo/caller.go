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

// caller is a client of the deployment.
type caller struct {
	address    string
	deployment Deployment
}

// answer is what a caller got.
type answer struct {
	what    string
	status  int
	outcome string
	whole   bool
	elapsed time.Duration
	detail  string
}

// String returns the answer on one line.
func (a answer) String() string {
	return fmt.Sprintf("%s: status %d, outcome %s, whole %t, %d ms %s", a.what, a.status, a.outcome, a.whole, a.elapsed.Milliseconds(), a.detail)
}

func newKey() string { return ident.NewKey() }

// newCaller asks an entry which addresses to use.
func newCaller(ctx context.Context, anyEntry string, d Deployment) (*caller, error) {
	var a entry.AddressAnswer
	if err := getJSON(ctx, "http://"+anyEntry+"/v1/addresses", &a); err != nil {
		return nil, err
	}
	if len(a.Addresses) == 0 {
		return nil, problem.New(problem.Unavailable, "run the demo again", "the entry named no address")
	}
	return &caller{address: a.Addresses[0].Address, deployment: d}, nil
}

// ask sends a model request and checks that the answer is whole and its own.
func (c *caller) ask(ctx context.Context, prompt string, stream bool) (answer, error) {
	request := engine.ChatRequest{
		Model: c.deployment.ModelRoute, Stream: stream, MaxTokens: answerTokens,
		Messages: []engine.Message{{Role: "user", Content: prompt}},
	}
	body, err := json.Marshal(request)
	if err != nil {
		return answer{}, err
	}
	start := time.Now()
	res, err := c.send(ctx, "/v1/chat/completions", "", body)
	if err != nil {
		return answer{}, err
	}
	defer res.Body.Close()
	a := answer{what: fmt.Sprintf("ask stream=%t", stream), status: res.StatusCode, outcome: res.Header.Get(problem.OutcomeHeader)}
	text, err := readText(res.Body, stream)
	a.elapsed = time.Since(start)
	a.whole = err == nil && text == standin.FullAnswer(request)
	return a, err
}

// write sends an unrepeatable call.
func (c *caller) write(ctx context.Context, path, key, body string) (answer, error) {
	start := time.Now()
	res, err := c.send(ctx, "/services/"+c.deployment.ServiceRoute+"/"+path, key, []byte(body))
	if err != nil {
		return answer{}, err
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	return answer{
		what: "POST " + path, status: res.StatusCode, outcome: res.Header.Get(problem.OutcomeHeader),
		whole: err == nil && json.Valid(data), elapsed: time.Since(start), detail: strings.TrimSpace(string(data)),
	}, err
}

func (c *caller) send(ctx context.Context, path, key string, body []byte) (*http.Response, error) {
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

// readText returns the text of an answer. A stream that ends without its end
// marker, or with an error event, is an error.
func readText(body io.Reader, stream bool) (string, error) {
	if !stream {
		var a engine.ChatAnswer
		if err := json.NewDecoder(body).Decode(&a); err != nil || len(a.Choices) == 0 {
			return "", fmt.Errorf("malformed answer: %w", err)
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
