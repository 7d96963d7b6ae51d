package entry

import (
	"encoding/json"
	"net/http"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/fescuehub/fescuehub/pkg/peer/engine"
	"github.com/fescuehub/fescuehub/pkg/problem"
	"github.com/fescuehub/fescuehub/pkg/tables"
)

// prefixBytes is the length of the prompt prefix that routing hashes.
const prefixBytes = 256

func (e *Entry) serveModel(w http.ResponseWriter, r *http.Request) {
	x, err := e.openModel(w, r)
	if err != nil {
		e.refuse(w, err)
		return
	}
	x.prepareAnswer(w)
	e.serve(r.Context(), x)
}

func (e *Entry) openModel(w http.ResponseWriter, r *http.Request) (*exchange, error) {
	if err := e.notReady(); err != nil {
		return nil, err
	}
	body, err := e.readBody(w, r)
	if err != nil {
		return nil, err
	}
	var request engine.ChatRequest
	if err := json.Unmarshal(body, &request); err != nil {
		return nil, problem.New(problem.BadRequest, "send a chat completion request in JSON", "malformed body: %v", err).WithOutcome(problem.NotRun)
	}
	x, err := e.open(r, request.Model)
	if err != nil {
		return nil, err
	}
	if x.pool.Kind != tables.Model {
		return nil, wrongKind(x, "/services/"+x.route.Name+"/")
	}
	x.path = r.URL.Path
	x.body = body
	x.stream = request.Stream
	x.idempotent = true
	x.adapter = request.Adapter
	x.prefixHash = prefixHash(request.Messages)
	return x, nil
}

// wrongKind returns the error of a request whose route belongs to another kind of pool. path is
// the endpoint for that kind.
func wrongKind(x *exchange, path string) error {
	return problem.New(problem.BadRequest, "send the request to "+path,
		"route %q belongs to a pool of kind %q", x.route.Name, x.pool.Kind).WithOutcome(problem.NotRun)
}

// prefixHash hashes the first prefixBytes bytes of the prompt.
func prefixHash(messages []engine.Message) uint64 {
	var prompt strings.Builder
	for _, m := range messages {
		prompt.WriteString(m.Content)
		if prompt.Len() >= prefixBytes {
			break
		}
	}
	text := prompt.String()
	return xxhash.Sum64String(text[:min(len(text), prefixBytes)])
}
