// Package routing chooses the replica of a pool that serves a request: filters
// take candidates out, scorers give each a cost in milliseconds of expected
// time to the first token, and a picker chooses. It has no clock, socket or
// random source of its own: the caller passes the time, a snapshot of the
// replicas and a random number.
package routing

import (
	"slices"
	"time"

	"github.com/fescuehub/fescuehub/pkg/ident"
)

// Load is what a replica last reported of itself.
type Load struct {
	// Running and Waiting count the requests at the backend server.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// StepMS is the recent time of one step in milliseconds, 0 if unknown.
	StepMS float64 `json:"stepMS,omitempty"`
}

// Replica is one candidate in a snapshot.
type Replica struct {
	Name          string
	Incarnation   ident.Incarnation
	FailureDomain string
	// Concurrency bounds the requests in flight at the backend server.
	Concurrency int
	// InFlight counts the requests that this entry has in flight there.
	InFlight int
	// Load was reported at LoadAt; the zero time means never.
	Load   Load
	LoadAt time.Time
	// InFlightAtLoad is what InFlight was at LoadAt.
	InFlightAtLoad int
	// RTT is the round-trip time between the entry and the replica, 0 if
	// unknown.
	RTT time.Duration
	// FirstSeen is when the entry first saw this incarnation.
	FirstSeen time.Time
	// Draining replicas take no new work.
	Draining bool
	// Failures counts consecutive failures seen by this entry, the last one
	// at FailedAt.
	Failures int
	FailedAt time.Time
}

// Request is what routing knows of a request.
type Request struct {
	// FailureDomain of the entry that routes the request.
	FailureDomain string
	Organisation  string
	Adapter       string
	// PrefixHash identifies the start of the prompt, 0 if there is none.
	PrefixHash uint64
	// Exclude names replicas that have been tried already.
	Exclude []string
}

// Selector chooses one of the replicas. It returns false when none may take
// the request. random is uniform over all values.
type Selector interface {
	Select(now time.Time, request Request, replicas []Replica, random uint64) (Replica, bool)
}

// eligible returns the replicas that may take the request.
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
