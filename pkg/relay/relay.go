// Package relay forwards a caller's request to backend servers and returns the complete response.
// Whether an attempt may be retried depends on the kind of the route and on what is certain about
// the attempts so far.
package relay

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuehub/fescuehub/pkg/backendconn"
	"github.com/fescuehub/fescuehub/pkg/balance"
	"github.com/fescuehub/fescuehub/pkg/eventstream"
	"github.com/fescuehub/fescuehub/pkg/fleet"
	"github.com/fescuehub/fescuehub/pkg/quarantine"
	"github.com/fescuehub/fescuehub/pkg/ratelimit"
	"github.com/fescuehub/fescuehub/pkg/retrybudget"
	"github.com/fescuehub/fescuehub/pkg/shortage"
)

const (
	// minAttemptTime is the minimum time that must remain for an attempt.
	minAttemptTime = 30 * time.Millisecond
	// initialRefusalBackoff is the backoff after every server has refused a request; it doubles up
	// to maxRefusalBackoff.
	initialRefusalBackoff = 60 * time.Millisecond
	maxRefusalBackoff     = 500 * time.Millisecond
	// maxRefusalRounds and maxEngineRefusals bound how often servers may refuse a request for lack
	// of capacity: maxRefusalRounds times the number of servers, and for engines also
	// maxEngineRefusals.
	maxRefusalRounds  = 2
	maxEngineRefusals = 8
	// unresponsiveTimeout is the time after which an attempt without a response is cancelled if its
	// server is unresponsive. It leaves time for another attempt before the caller disconnects.
	unresponsiveTimeout = 1100 * time.Millisecond
	// failedServerAvoidTime is how long a server is avoided after a failed connection.
	failedServerAvoidTime = 500 * time.Millisecond
)

// CallerHeaders holds the properties of a request that the caller's headers state.
type CallerHeaders struct {
	// ID identifies the caller's attempt; it is never reused.
	ID string
	// Key is the API key that identifies the caller's organisation.
	Key string
	// CallerTimeout is how long the caller waits; 0 if it does not state it.
	CallerTimeout   time.Duration
	PromptTokens    int
	MaxOutputTokens int
	// ExpectedTokens is the caller's estimate of the response length; 0 if there is none.
	ExpectedTokens int
	LastEventID    string
	// SharedParts holds the IDs of the parts of the prompt, in their order, without the last part, which
	// belongs to this request or its session alone. Other requests can have the same parts.
	SharedParts []string
}

// LowestPriority is the priority of the least urgent requests; 0 is the most urgent one.
const LowestPriority = 9

// AttemptHeaders holds the properties of one attempt that are sent to the backend server.
type AttemptHeaders struct {
	ServerID string
	// Remaining is the time until the response is no longer needed.
	Remaining    time.Duration
	Organisation string
	// Priority is from 0, the most urgent, to LowestPriority.
	Priority int
	// LastEventID is the event after which a stream is to be resumed; empty for a new stream.
	LastEventID string
}

// ResponseHeaders holds the properties of a response that its headers state.
type ResponseHeaders struct {
	RequestID string
	// Sealed means that the response carries the backend server's signature.
	Sealed bool
	// NotRun certifies that the request has not run at the server and never will.
	NotRun bool
	// WrongServer means that the address belongs to another server.
	WrongServer bool
	// GroupFault means that the request was refused because the group of engines depends on a
	// server that is dead or unreachable.
	GroupFault bool
	// Leaving means that the server is about to end and accepts no new requests.
	Leaving bool
	// RetryAfter is the time, as the server states it in seconds, for which an overloaded server
	// wants no requests; empty if it states none.
	RetryAfter string
	// RateLimit is the rate, in requests per second, that the server accepts from all entries together;
	// empty if it states none. Several rates are separated by commas.
	RateLimit string
}

// Codec translates between header fields and their meaning.
type Codec interface {
	EncodeAttempt(h http.Header, a AttemptHeaders)
	DecodeResponse(status int, h http.Header) ResponseHeaders
}

// Request is one request of a caller. Its body has been read completely.
type Request struct {
	CallerHeaders
	Route   *fleet.Route
	Service *fleet.Service
	// Organisation is the organisation that owns the caller's key.
	Organisation string
	Priority     int
	// Priorities holds the priorities that requests to the service can have, in ascending order. Empty
	// means that all requests have the same one.
	Priorities []int
	Method     string
	// Target is the path and query, as sent by the caller.
	Target string
	Host   string
	// Header holds the headers that are forwarded.
	Header http.Header
	Body   []byte
	// Held claims the memory for a response that is buffered; nil if it is not bounded.
	Held Memory
	// Arrived is when the first bytes of the request were read.
	Arrived time.Time
}

// Fingerprint returns the ID of the request in quarantine and logs. A request that is sent again has the
// same one.
func (r *Request) Fingerprint() string {
	return quarantine.Fingerprint(quarantine.Identity{
		Method: r.Method, Host: r.Host, Target: r.Target, Caller: r.Organisation, SharedParts: r.SharedParts, Body: r.Body,
	})
}

// Deadline returns the time by which the request must have its final response.
func (r *Request) Deadline() time.Time {
	limit := r.Route.Timeout
	if r.CallerTimeout > 0 && (limit <= 0 || r.CallerTimeout < limit) {
		limit = r.CallerTimeout
	}
	return r.Arrived.Add(limit)
}

// tokens returns the number of context tokens that the request adds to an engine.
func (r *Request) tokens() int { return r.PromptTokens }

// Memory is the memory that a request holds.
type Memory interface {
	// GrowOptional claims n more bytes that the request can do without, and returns false if there is no room for
	// them.
	GrowOptional(n int64) bool
}

// claim claims memory for the request.
func (r *Request) claim(n int64) bool { return r.Held == nil || r.Held.GrowOptional(n) }

// Transport sends requests to backend servers.
type Transport interface {
	Start(ctx context.Context, server, address string, r *backendconn.Request) (*backendconn.Response, error)
	// Ended reports whether the process of a server has certainly ended.
	Ended(ctx context.Context, server, address string) bool
}

// ServerObserver is told what responses say about the servers that sent them. Its methods may be
// called concurrently.
type ServerObserver interface {
	// Misdirected is called when the address of a server belongs to another server.
	Misdirected(server string)
	// Leaving is called when an incarnation of a server says that it is leaving.
	Leaving(server string, incarnation int64)
	// RetryAfterIgnored is called when a server states a Retry-After that is not a number of
	// seconds from 0 to MaxServerPause.
	RetryAfterIgnored(server, value string)
	// RateLimitIgnored is called when a server states a rate limit that cannot be parsed.
	RateLimitIgnored(server string, err error)
	// Ended is called when a server ended while it had the request. The end names no parts of the prompt
	// if the server had answered enough to show that it can answer this prompt.
	Ended(s fleet.Server, end ServerEnd)
}

// ServerEnd is what a request shows about the end of the server that had it.
type ServerEnd struct {
	// RequestID is the ID of the request, Fingerprint is the same for all requests that are alike, and
	// SharedParts are those of its prompt.
	RequestID   string
	Fingerprint string
	SharedParts []string
	// ResponseBegun means that the headers of the response had arrived: the server was at work on the
	// request. Otherwise the request may have waited there.
	ResponseBegun bool
}

// Admission decides whether this process may send requests to backend servers. It is safe for concurrent use.
type Admission interface {
	// AdmitsAttempt reports whether a request with the given deadline may be sent. Once a process stops, it
	// may not send requests that it may be unable to finish.
	AdmitsAttempt(deadline time.Time) bool
}

// Relay forwards requests. It is safe for concurrent use.
type Relay struct {
	codec     Codec
	transport Transport
	balancer  *balance.Balancer
	budget    *retrybudget.Budget
	prompts   *quarantine.Tracker
	limits    *ratelimit.Limiter
	admission Admission
	observer  ServerObserver
	shortage  shortageQueues
	// maxEventBytes bounds one event of a stream, of which each request may hold one.
	maxEventBytes int
}

// New returns a relay. It refuses requests that prompts has in quarantine, and those that admission does not
// admit. It breaks off streams with an event of more than maxEventBytes.
func New(codec Codec, t Transport, b *balance.Balancer, budget *retrybudget.Budget, prompts *quarantine.Tracker, limits *ratelimit.Limiter, a Admission, o ServerObserver, maxEventBytes int) *Relay {
	return &Relay{codec: codec, transport: t, balancer: b, budget: budget, prompts: prompts, limits: limits, admission: a, observer: o, maxEventBytes: maxEventBytes}
}

// outcome is what is certain about an ended attempt.
type outcome int

const (
	// answered: a complete response was passed on.
	answered outcome = iota
	// notRun: the request has not run and never will.
	notRun
	// ran: the request failed, and a response says so.
	ran
	// notKnown: the request may have run.
	notKnown
	// brokenOff: the attempt failed after part of the response was passed on.
	brokenOff
)

// String returns the outcome's name for logs.
func (o outcome) String() string {
	return [...]string{"answered", "not-run", "ran", "not-known", "broken-off"}[o]
}

// Attempt is the record of one attempt.
type Attempt struct {
	Server  string
	Outcome string
	Status  int
	Took    time.Duration
	Error   string
	// ServerEnded means that the server ended under the attempt.
	ServerEnded bool
	// Malformed means that the head of the response was not valid; Error says why.
	Malformed bool `json:",omitempty"`
	// Uncertified means that the status says that the request did not run, and nothing else in the response does.
	Uncertified bool `json:",omitempty"`
	// RateLimit is the limit that the response states, as it states it.
	RateLimit string `json:",omitempty"`
}

// Report is the record of one request, for logs and metrics.
type Report struct {
	Status   int
	Attempts []Attempt
	// Reason is why no attempt answered the request; empty if one did.
	Reason string
	// WaitedFor is the last reason for a wait before an attempt; empty if there was none.
	WaitedFor string
	// Waited is the time from arrival to the first attempt.
	Waited time.Duration
	// Events is the number of server-sent events passed on.
	Events int
	// ShortOfSlots means that the request was refused because the engines had no slot for it in time.
	ShortOfSlots bool
	// Aborted means that the caller's connection must be closed.
	Aborted bool
}

// Serve forwards one request and writes the response. If the report has Aborted set, the caller of
// Serve must abort the connection.
func (r *Relay) Serve(ctx context.Context, w http.ResponseWriter, q *Request) Report {
	ctx, cancel := context.WithDeadlineCause(ctx, q.Deadline(), errDeadline)
	defer cancel()
	x := &exchange{Relay: r, q: q, w: w, fingerprint: q.Fingerprint(), repeatable: q.Route.Repeatable(), order: eventstream.NewOrder(q.LastEventID), lastProgress: q.Arrived}
	x.suspects = SuspectIDs(q.SharedParts, x.fingerprint)
	now := time.Now()
	r.budget.RecordRequest(now, q.Service.Name)
	r.prompts.RecordRequest(now, q.Service.Name, q.SharedParts)
	x.joinShortage(now)
	x.run(ctx)
	x.leaveShortage()
	return x.report
}

var errDeadline = errors.New("request deadline exceeded")

// exchange is the state of one request.
type exchange struct {
	*Relay
	q          *Request
	w          http.ResponseWriter
	repeatable bool
	// fingerprint is the request's ID in quarantine, and suspects holds it with those of the parts of its
	// prompt.
	fingerprint string
	suspects    []string
	report      Report
	// excluded holds the servers that are not tried again.
	excluded map[string]bool
	// sent counts the attempts that reached a server.
	sent int
	// possibleRuns counts the attempts that may have run.
	possibleRuns int
	refusals     int
	// started is true once the response headers have been sent to the caller.
	started bool
	// order is the order of the events that have been passed on.
	order eventstream.Order
	// streamType is the media type of the response that has been started.
	streamType string
	// resumed is true if the current attempt continues a response that another one has started.
	resumed bool
	// lastProgress is when data was last sent to the caller; initially the request's arrival.
	lastProgress time.Time
	// groupFault is true if the last attempt or check found the group broken.
	groupFault bool
	// retryAcquired is true if the retry budget was acquired for the next attempt.
	retryAcquired atomic.Bool
	// cancelAttempt cancels the current attempt.
	cancelAttempt context.CancelCauseFunc
	// holdsLateSlot is true once the request has acquired a late slot of the balancer.
	holdsLateSlot bool
	// queue orders the requests to the service while slots are short; nil if it has no engines.
	queue *shortage.Queue
	// began is when the request came to the relay; held is true once it has been decided whether it is held.
	began time.Time
	held  bool
	// lateTicket is the place of a late request that waits for a late slot; nil if it does not wait.
	lateTicket *shortage.Ticket
	// failedResponse is the last response that reported a failure of the request.
	failedResponse *bufferedResponse
	// attemptEvents counts the events of the current attempt.
	attemptEvents int
	// permitDeadline ends the waits for permits before the next attempt; zero if it has not waited for one.
	permitDeadline time.Time
	// connections are those that have carried a response to the request.
	connections []backendconn.ConnectionID
	// serverEnded is true if a server has ended under an attempt.
	serverEnded bool
	// refusal is why the request is in quarantine; its Part is empty if it is not.
	refusal quarantine.Refusal
	// stopping is true if the request is refused because this process stops.
	stopping bool
}

func (x *exchange) run(ctx context.Context) {
	for {
		timeLeft := x.waitForGroup(ctx)
		if x.refuseStopping(ctx) {
			return
		}
		if x.refuseQuarantined(ctx, x.prompts.Refused) {
			return
		}
		if !timeLeft {
			x.finish(ctx, "too little time left for an attempt, or the group of engines did not open in time")
			return
		}
		server, ok := x.choose()
		if !ok && x.waitForAnyPermit(ctx) {
			continue
		}
		if !ok {
			x.finish(ctx, x.noServerReason())
			return
		}
		if reason := x.refusalReason(server); reason != "" {
			x.report.ShortOfSlots = true
			x.finish(ctx, reason)
			return
		}
		if x.holdForOthers(ctx) {
			continue // the free slots have changed
		}
		if len(x.report.Attempts) == 0 {
			x.report.Waited = time.Since(x.q.Arrived)
		}
		if !x.acquireRetry(ctx) {
			x.finish(ctx, x.noRetryReason())
			return
		}
		if x.refuseStopping(ctx) {
			return
		}
		if !x.takePermit(ctx, server) {
			continue // the server is at its rate limit
		}
		if !x.balancer.Accepts(time.Now(), server) {
			continue // it left, restarted or paused while the request waited
		}
		if !x.balancer.TakeCold(time.Now(), server) {
			continue // it is cold, and has got this entry's share meanwhile
		}
		if x.refuseQuarantined(ctx, x.prompts.Acquire) {
			return
		}
		x.retryAcquired.Store(false)
		x.permitDeadline = time.Time{}
		o := x.attempt(ctx, server)
		if o == answered {
			return
		}
		if !x.shouldRetry(ctx, o) {
			return
		}
	}
}

func (x *exchange) remaining() time.Duration { return time.Until(x.q.Deadline()) }

func (x *exchange) choose() (fleet.Server, bool) {
	return x.balancer.Choose(time.Now(), x.q.Service, x.excluded, rand.Float64)
}

// noServerReason says why no server was chosen.
func (x *exchange) noServerReason() string {
	if reason := x.balancer.EvacuatedReason(x.q.Service.Name); reason != "" {
		return reason
	}
	if reason := x.balancer.RateLimitReason(time.Now(), x.q.Service.Name); reason != "" {
		return reason
	}
	if reason := x.balancer.RefuseCold(time.Now(), x.q.Service.Name); reason != "" {
		return reason
	}
	return "no untried backend server is available"
}

// noRetryReason says why no retry followed.
func (x *exchange) noRetryReason() string {
	if reason := x.balancer.EvacuatedReason(x.q.Service.Name); reason != "" {
		return reason
	}
	return "retry budget exhausted"
}

func (x *exchange) exclude(id string) {
	if x.excluded == nil {
		x.excluded = make(map[string]bool)
	}
	x.excluded[id] = true
}
