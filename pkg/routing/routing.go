// Package routing chooses the replica of a pool that serves a request: filters remove candidates,
// scorers add up a cost in milliseconds of expected time to first token, and a picker chooses by
// cost. It has no clock, sockets or random source: the caller passes the time, a snapshot of the
// replicas and a random number.
package routing

import (
	"slices"
	"time"

	"github.com/fescuehub/fescuehub/pkg/ident"
)

// Load is the last load report of a replica.
type Load struct {
	// Running and Waiting count the requests at the backend server.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// StepMS is the recent duration of one step in milliseconds, 0 if unknown.
	StepMS float64 `json:"stepMS,omitempty"`
}

// Replica is one candidate in a snapshot.
type Replica struct {
	Name          string
	Incarnation   ident.Incarnation
	FailureDomain string
	// Concurrency is the limit of requests in flight at the backend server, 0 if it has none.
	Concurrency int
	// InFlight counts this entry's requests in flight at the replica.
	InFlight int
	// Load is the last load report and LoadAt when it was made; the zero time means never.
	Load   Load
	LoadAt time.Time
	// InFlightAtLoad is the value of InFlight at LoadAt.
	InFlightAtLoad int
	// RTT is the round-trip time between the entry and the replica, 0 if unknown.
	RTT time.Duration
	// FirstSeen is when the entry first saw this incarnation.
	FirstSeen time.Time
	// Draining replicas accept no new requests.
	Draining bool
	// Failures counts the consecutive failures that this entry has seen; FailedAt is the time of
	// the last one.
	Failures int
	FailedAt time.Time
}

// Request holds the properties of a request that decide on its replica.
type Request struct {
	// FailureDomain is the failure domain of the entry that routes the request.
	FailureDomain string
	Organisation  string
	Adapter       string
	// PrefixHash identifies the prefix of the prompt, 0 if there is none.
	PrefixHash uint64
	// Exclude lists the replicas that have already been tried.
	Exclude []string
}

// Selector chooses one of the replicas. It returns false if none is eligible. random is uniform
// over all values.
type Selector interface {
	Select(now time.Time, request Request, replicas []Replica, random uint64) (Replica, bool)
}

// eligible returns the replicas that are not draining and not excluded.
func eligible(request Request, replicas []Replica) []*Replica {
	out := make([]*Replica, 0, len(replicas))
	for i := range replicas {
		r := &replicas[i]
		if !r.Draining && !slices.Contains(request.Exclude, r.Name) {
			out = append(out, r)
		}
	}
	return out
}
