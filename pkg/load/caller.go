package load

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
	service "github.com/fescuehub/fescuehub/pkg/standin/plainservice"
)

// maxResponseBytes limits how much is read of a response that is not a stream.
const maxResponseBytes = 8 << 20

// send sends one planned request and records its result.
func (r *runner) send(ctx context.Context, a Arrival, planned time.Time) {
	ctx, cancel := context.WithDeadline(ctx, planned.Add(r.options.Timeout))
	defer cancel()
	switch a.Kind {
	case ModelStream, ModelUnary:
		r.sendModel(ctx, a, planned)
	default:
		r.sendService(ctx, a, planned)
	}
}

func (r *runner) sendModel(ctx context.Context, a Arrival, planned time.Time) {
	request := engine.ChatRequest{
		Model: r.options.ModelRoute, Stream: a.Kind == ModelStream, MaxTokens: r.options.Tokens,
		Messages: []engine.Message{{Role: "user", Content: fmt.Sprintf("prompt %d of %s", a.Prompt, a.Organisation)}},
	}
	body, err := json.Marshal(request)
	if err != nil {
		r.recorder.addFailure(a, planned, err)
		return
	}
	res, err := r.post(ctx, a, http.MethodPost, "/v1/chat/completions", "", body)
	if err != nil {
		r.recorder.addFailure(a, planned, err)
		return
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		r.recorder.addRefusal(a, planned, res)
		return
	}
	text, err := r.readModelResponse(res.Body, a, planned)
	if err != nil {
		r.recorder.addFailure(a, planned, err)
		return
	}
	r.recorder.addAnswer(a, planned, text == standin.FullAnswer(request))
}

// readModelResponse returns the text of a response and records the times of its tokens.
func (r *runner) readModelResponse(body io.Reader, a Arrival, planned time.Time) (string, error) {
	if a.Kind == ModelUnary {
		var answer engine.ChatAnswer
		if err := json.NewDecoder(io.LimitReader(body, maxResponseBytes)).Decode(&answer); err != nil {
			return "", err
		}
		if len(answer.Choices) == 0 || answer.Choices[0].Message == nil {
			return "", problem.New(problem.TruncatedAnswer, "check the engine", "the model response has no choices")
		}
		return answer.Choices[0].Message.Content, nil
	}
	var text strings.Builder
	reader := engine.NewStreamReader(body)
	previous := time.Time{}
	for {
		part, done, err := reader.Next()
		if err != nil || done {
			return text.String(), err
		}
		if part == "" {
			continue
		}
		now := time.Now()
		r.recorder.addToken(planned, previous, now)
		previous = now
		text.WriteString(part)
	}
}

func (r *runner) sendService(ctx context.Context, a Arrival, planned time.Time) {
	method, path, key := http.MethodGet, fmt.Sprintf("/items/%d", a.Prompt), ""
	if a.Kind == Write {
		method, path, key = http.MethodPost, "/holds", ident.NewKey()
	}
	body := fmt.Appendf(nil, `{"item":%d}`, a.Prompt)
	res, err := r.post(ctx, a, method, "/services/"+r.options.ServiceRoute+path, key, body)
	if err != nil {
		r.recorder.addFailure(a, planned, err)
		return
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		r.recorder.addRefusal(a, planned, res)
		return
	}
	var answer service.Answer
	if err := json.NewDecoder(io.LimitReader(res.Body, maxResponseBytes)).Decode(&answer); err != nil {
		r.recorder.addFailure(a, planned, err)
		return
	}
	correct := answer.Path == path && answer.Key == key && (key == "" || answer.Execution == 1)
	r.recorder.addAnswer(a, planned, correct)
}

func (r *runner) post(ctx context.Context, a Arrival, method, path, key string, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+r.options.Entries[a.Entry]+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(entry.OrganisationHeader, a.Organisation)
	if key != "" {
		req.Header.Set(plainservice.KeyHeader, key)
	}
	return r.client.Do(req)
}
