// Package agentlink defines the protocol between entries and agents. Control messages use
// JSON-RPC. Attempts use HTTP, because each answer is a stream with its own flow control: one
// slow caller must not block the answers to others.
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
	// MethodHello registers an entry with an agent. It takes a Hello and returns a Status.
	MethodHello = "hello"
	// MethodStatus is a notification from the agent that carries a Status.
	MethodStatus = "status"
	// MethodHeartbeat is a notification from the agent that carries a Heartbeat. Its name on the
	// wire is short because it is the most frequent message.
	MethodHeartbeat = "beat"
	// MethodConfigure sends an agent the configuration of its pool. It takes a PoolConfig and
	// returns a PoolConfig with the offset that the agent has applied.
	MethodConfigure = "configure"
	// MethodRefuse asks for the outcome of an unrepeatable call. It takes a RefuseRequest and
	// returns a writeonce.Certificate.
	MethodRefuse = "refuse"
	// MethodClaims names the routes whose keys are claimed in the log. It takes a ClaimsRequest.
	MethodClaims = "claims"
	// MethodPermits asks for a block of permits. It takes a PermitRequest and returns a
	// PermitBlock.
	MethodPermits = "permits"
)

// Hello identifies an entry to an agent.
type Hello struct {
	Entry       string            `json:"entry"`
	Incarnation ident.Incarnation `json:"incarnation"`
	// HeartbeatMS is the interval at which the entry wants heartbeats, in milliseconds.
	HeartbeatMS int64 `json:"heartbeatMS"`
}

// Heartbeat is the short form of a Status. It is sent when no other field of the Status has
// changed.
type Heartbeat struct {
	Running     int     `json:"r,omitempty"`
	Waiting     int     `json:"w,omitempty"`
	StepMS      float64 `json:"s,omitempty"`
	Draining    bool    `json:"d,omitempty"`
	BackendDown bool    `json:"x,omitempty"`
}

// Status describes the state of an agent.
type Status struct {
	Name        string            `json:"name"`
	Incarnation ident.Incarnation `json:"incarnation"`
	Pool        string            `json:"pool"`
	// Draining is true if the agent refuses every new attempt.
	Draining bool `json:"draining"`
	// BackendUp is false while the backend server does not respond.
	BackendUp bool         `json:"backendUp"`
	Load      routing.Load `json:"load"`
	// ConfigOffset is the highest configuration offset that the agent has received.
	ConfigOffset int64 `json:"configOffset"`
	// GroupRank is zero for an engine that is not part of a group.
	GroupRank GroupRank `json:"groupRank,omitzero"`
}

// PoolConfig is the part of the configuration that an agent needs.
type PoolConfig struct {
	Offset int64 `json:"offset"`
	// Pool is nil if the pool is not in the tables.
	Pool *tables.Pool `json:"pool,omitempty"`
}

// RefuseRequest asks an agent to refuse an attempt and its key permanently, unless the call has
// already run.
type RefuseRequest struct {
	Attempt     ident.AttemptID   `json:"attempt"`
	Route       string            `json:"route"`
	Key         string            `json:"key"`
	Digest      writeonce.Digest  `json:"digest"`
	Incarnation ident.Incarnation `json:"incarnation"`
}

// ClaimsRequest lists the routes of a pool that have unrepeatable calls.
type ClaimsRequest struct {
	Routes []string `json:"routes"`
	// Owners is the number of agents that claim keys, summed over all routes.
	Owners int `json:"owners"`
}

// PermitRequest asks for Count permits.
type PermitRequest struct {
	Count int `json:"count"`
}

// PermitBlock is a block of permits with consecutive serial numbers.
type PermitBlock struct {
	Incarnation ident.Incarnation `json:"incarnation"`
	// IssuedMS is the time of issue, in milliseconds since the agent started.
	IssuedMS int64 `json:"issuedMS"`
	// First is the serial number of the first permit.
	First uint64 `json:"first"`
	Count int    `json:"count"`
}

// AttemptRequest describes one attempt. It is sent as one line of JSON before the body.
type AttemptRequest struct {
	Attempt ident.AttemptID `json:"attempt"`
	// Incarnation is the incarnation of the agent that the attempt is addressed to.
	Incarnation ident.Incarnation `json:"incarnation"`
	Route       string            `json:"route"`
	// Pool is the current pool of the route. An agent of another pool executes no new calls of
	// the route, but still answers for the keys that it has executed.
	Pool         string `json:"pool,omitempty"`
	Organisation string `json:"organisation,omitempty"`
	Priority     int    `json:"priority,omitempty"`
	// DeadlineMS is the remaining time for the attempt, in milliseconds.
	DeadlineMS int64 `json:"deadlineMS"`
	// Key is the idempotency key of an unrepeatable call, or empty.
	Key    string      `json:"key,omitempty"`
	Method string      `json:"method"`
	Path   string      `json:"path"`
	Header http.Header `json:"header,omitempty"`
	// Stream is true if the answer is a stream of server-sent events.
	Stream bool `json:"stream,omitempty"`
	// ResumeText is the part of a streamed answer that the caller has already received. The
	// agent refuses the attempt if the engine does not support resumption.
	ResumeText string `json:"resumeText,omitempty"`
}

// AttemptsPath is the URL path at which an agent accepts attempts.
const AttemptsPath = "/v1/attempts"
