// Package agentlink is the protocol between entries and agents. Control runs
// over JSON-RPC; attempts run over HTTP, because an answer is a stream that
// one slow caller must be able to hold back without holding back others.
package agentlink

import (
	"net/http"

	"github.com/fescuehub/fescuehub/pkg/ident"
	"github.com/fescuehub/fescuehub/pkg/routing"
	"github.com/fescuehub/fescuehub/pkg/tables"
	"github.com/fescuehub/fescuehub/pkg/writeonce"
)

// Names of the control methods.
const (
	// MethodHello introduces an entry to an agent: Hello, answered by Status.
	MethodHello = "hello"
	// MethodStatus is the agent's notification of a Status.
	MethodStatus = "status"
	// MethodHeartbeat is the agent's notification of a Heartbeat. Its name is
	// short on the wire, since it is the most frequent message.
	MethodHeartbeat = "beat"
	// MethodConfigure hands an agent its pool's part: PoolPart.
	MethodConfigure = "configure"
	// MethodRefuse asks for the outcome of an unrepeatable call: RefuseRequest,
	// answered by writeonce.Certificate.
	MethodRefuse = "refuse"
	// MethodClaims names the routes whose keys are claimed in the log: Claims.
	MethodClaims = "claims"
	// MethodPermits asks for a block of permits: PermitRequest, answered by
	// PermitBlock.
	MethodPermits = "permits"
)

// Hello introduces an entry.
type Hello struct {
	Entry       string            `json:"entry"`
	Incarnation ident.Incarnation `json:"incarnation"`
	// HeartbeatMS is how often the entry wants a Heartbeat, in milliseconds.
	HeartbeatMS int64 `json:"heartbeatMS"`
}

// Heartbeat is the short form of a Status, sent while nothing else has changed.
type Heartbeat struct {
	Running     int     `json:"r,omitempty"`
	Waiting     int     `json:"w,omitempty"`
	StepMS      float64 `json:"s,omitempty"`
	Draining    bool    `json:"d,omitempty"`
	BackendDown bool    `json:"x,omitempty"`
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

// PoolConfig is the part of the configuration that an agent needs.
type PoolConfig struct {
	Offset int64 `json:"offset"`
	// Pool is nil where the pool is not in the table.
	Pool *tables.Pool `json:"pool,omitempty"`
}

// RefuseRequest asks an agent to refuse an attempt and its key for ever, unless
// the call has run.
type RefuseRequest struct {
	Attempt     ident.AttemptID   `json:"attempt"`
	Route       string            `json:"route"`
	Key         string            `json:"key"`
	Digest      writeonce.Digest  `json:"digest"`
	Incarnation ident.Incarnation `json:"incarnation"`
}

// ClaimsRequest names the routes of a pool that have unrepeatable calls.
type ClaimsRequest struct {
	Routes []string `json:"routes"`
	// Owners is the number of agents that claim keys, over all routes.
	Owners int `json:"owners"`
}

// PermitRequest asks for a number of permits.
type PermitRequest struct {
	Count int `json:"count"`
}

// PermitBlock is a run of permits with consecutive serial numbers.
type PermitBlock struct {
	Incarnation ident.Incarnation `json:"incarnation"`
	// IssuedMS is the time of issue in milliseconds since the agent started.
	IssuedMS int64  `json:"issuedMS"`
	First    uint64 `json:"first"`
	Count    int    `json:"count"`
}

// AttemptRequest describes one attempt. It travels as one line of JSON before
// the body.
type AttemptRequest struct {
	Attempt ident.AttemptID `json:"attempt"`
	// Incarnation of the agent that the attempt is meant for.
	Incarnation ident.Incarnation `json:"incarnation"`
	Route       string            `json:"route"`
	// Pool that the route leads to now. An agent of another pool runs nothing
	// new for the route and still answers for the keys that it has run.
	Pool         string `json:"pool,omitempty"`
	Organisation string `json:"organisation,omitempty"`
	Priority     int    `json:"priority,omitempty"`
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
