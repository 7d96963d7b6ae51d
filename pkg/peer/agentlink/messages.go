// Package agentlink is the protocol between entries and agents. Control runs
// over JSON-RPC; attempts run over HTTP, because an answer is a stream that
// one slow caller must be able to hold back without holding back others.
package agentlink

import (
	"net/http"

	"github.com/fescuehub/fescuehub/pkg/ident"
	"github.com/fescuehub/fescuehub/pkg/problem"
	"github.com/fescuehub/fescuehub/pkg/routing"
	"github.com/fescuehub/fescuehub/pkg/tables"
)

// Names of the control methods.
const (
	// MethodHello introduces an entry to an agent: Hello, answered by Status.
	MethodHello = "hello"
	// MethodStatus is the agent's notification of a Status.
	MethodStatus = "status"
	// MethodConfigure hands an agent its pool's part: PoolPart.
	MethodConfigure = "configure"
	// MethodRefuse asks for the outcome of an attempt: RefuseRequest, answered
	// by RefuseReply.
	MethodRefuse = "refuse"
)

// Hello introduces an entry.
type Hello struct {
	Entry       string            `json:"entry"`
	Incarnation ident.Incarnation `json:"incarnation"`
}

// Status is what an agent says of itself.
type Status struct {
	Name        string            `json:"name"`
	Incarnation ident.Incarnation `json:"incarnation"`
	Pool        string            `json:"pool"`
	// Draining agents refuse every new attempt.
	Draining bool `json:"draining"`
	// BackendUp is false while the backend server does not answer.
	BackendUp bool         `json:"backendUp"`
	Load      routing.Load `json:"load"`
	// ConfigOffset is the highest offset of configuration that the agent has
	// been given.
	ConfigOffset int64 `json:"configOffset"`
	// GroupRank is empty for an engine of its own.
	GroupRank GroupRank `json:"groupRank,omitzero"`
}

// PoolPart is the part of the configuration that an agent needs.
type PoolPart struct {
	Offset int64 `json:"offset"`
	// Pool is nil where the pool is not in the table.
	Pool *tables.Pool `json:"pool,omitempty"`
}

// RefuseRequest asks an agent to refuse an attempt for ever, unless it has run.
type RefuseRequest struct {
	Attempt     ident.AttemptID   `json:"attempt"`
	Incarnation ident.Incarnation `json:"incarnation"`
}

// RefuseReply certifies the outcome of an attempt.
type RefuseReply struct {
	Outcome problem.Outcome `json:"outcome"`
}

// AttemptRequest describes one attempt. It travels as one line of JSON before
// the body.
type AttemptRequest struct {
	Attempt ident.AttemptID `json:"attempt"`
	// Incarnation of the agent that the attempt is meant for.
	Incarnation  ident.Incarnation `json:"incarnation"`
	Route        string            `json:"route"`
	Organisation string            `json:"organisation,omitempty"`
	Priority     int               `json:"priority,omitempty"`
	// DeadlineMS is the time left for the attempt, in milliseconds.
	DeadlineMS int64 `json:"deadlineMS"`
	// Key is the idempotency key of an unrepeatable call, empty otherwise.
	Key    string      `json:"key,omitempty"`
	Method string      `json:"method"`
	Path   string      `json:"path"`
	Header http.Header `json:"header,omitempty"`
	// Stream is true where the answer is a stream of server-sent events.
	Stream bool `json:"stream,omitempty"`
	// ResumeText is the text that the caller already has of a stream. The
	// agent refuses it where the engine does not resume.
	ResumeText string `json:"resumeText,omitempty"`
}

// AttemptsPath is where an agent takes attempts.
const AttemptsPath = "/v1/attempts"
