// Package relay carries one caller's request to a backend server and its whole
// answer back. What may be repeated follows from the route's kind and from what
// is certain about the attempts so far.
package relay

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuehub/fescuehub/pkg/backendconn"
	"github.com/fescuehub/fescuehub/pkg/balance"
	"github.com/fescuehub/fescuehub/pkg/fleet"
	"github.com/fescuehub/fescuehub/pkg/retrybudget"
	"github.com/fescuehub/fescuehub/pkg/wait"
)

const (
	// leastUseful is the time that an attempt needs at the very least.
	leastUseful = 30 * time.Millisecond
	// turnedAwayPause is the first pause after every server has turned a request
	// away; it doubles up to maxPause.
	turnedAwayPause = 60 * time.Millisecond
	maxPause        = 500 * time.Millisecond
	// fullRounds and fullAttempts bound how often servers may turn a request away
	// for want of a place: plain ones each so often, engines together.
	fullRounds   = 2
	fullAttempts = 8
	// brokenCheck is the pause between looks at a broken group's state and at a
	// spent budget: reports come five times a second.
	brokenCheck = 50 * time.Millisecond
	// leaveGap, leaveTargets and leaveGaps tell when a caller leaves a stream that
	// brings nothing: after the longest of leaveGap, leaveTargets times the
	// target latency and leaveGaps times the target gap.
	leaveGap     = 2 * time.Second
	leaveTargets = 4
	leaveGaps    = 8
	// firstEvent is the usual time from an attempt to its first event.
	firstEvent = 250 * time.Millisecond
	// lastChance is the time before its caller leaves at which a late request is sent in
	// any case: first events take up to 0.9 s in the seconds after an outage.
	lastChance = 1000 * time.Millisecond
	// hangCheck is the time after which an attempt without an answer is given up
	// if its server hangs: another one has time left before the caller leaves.
	hangCheck = 1100 * time.Millisecond
	// suspectTime keeps a server back after a failed connection.
	suspectTime = 500 * time.Millisecond
	// comeBack is the mean time after which a refused caller may come back;
	// comeBackGroup is the same where a group of engines has to form anew.
	comeBack      = 400 * time.Millisecond
	comeBackGroup = 1800 * time.Millisecond
)

// CallerHeaders is what a caller says of its request.
type CallerHeaders struct {
	// ID of the caller's attempt; it is never used again.
	ID  string
	Key string
	// CallerTimeout is how long the caller waits; 0 where it does not say.
	CallerTimeout   time.Duration
	PromptTokens    int
	MaxOutputTokens int
	// ExpectedTokens is the caller's estimate of the answer; 0 where there is none.
	ExpectedTokens int
	LastEventID    string
}

// AttemptHeaders is what a backend server is told of one attempt.
type AttemptHeaders struct {
	ServerID string
	// Remaining is how long the answer is of use.
	Remaining    time.Duration
	Organisation string
	Priority     int
	// LastEventID is the event after which a stream goes on; empty for none.
	LastEventID string
}

// ResponseHeaders is what the head of an answer says.
type ResponseHeaders struct {
	RequestID string
	// Sealed answers carry the backend server's signature.
	Sealed bool
	// NotRun certifies that the request has not run there and never will.
	NotRun bool
	// WrongServer means that another server has the address.
	WrongServer bool
	// GroupFault means that the request was turned away because the group of
	// engines depends on a server that is dead or cut off.
	GroupFault bool
}

// Dialect translates headers.
type Dialect interface {
	EncodeAttempt(h http.Header, a AttemptHeaders)
	DecodeResponse(status int, h http.Header) ResponseHeaders
}

// Request is one request of a caller, read whole.
type Request struct {
	CallerHeaders
	Route   *fleet.Route
	Service *fleet.Service
	// Organisation is the name of the key's holder.
	Organisation string
	Priority     int
	Method       string
	// Target is the path with the query, as sent.
	Target string
	Host   string
	// Header holds the headers that are passed on.
	Header http.Header
	Body   []byte
	// Arrived is when its first bytes were read.
	Arrived time.Time
}

// Deadline is when the request gets its final answer at the latest.
func (r *Request) Deadline() time.Time {
	limit := r.Route.Timeout
	if r.CallerTimeout > 0 && (limit <= 0 || r.CallerTimeout < limit) {
		limit = r.CallerTimeout
	}
	return r.Arrived.Add(limit)
}

// tokens is the context that the request brings to an engine.
func (r *Request) tokens() int { return r.PromptTokens }

// Transport starts exchanges with backend servers.
type Transport interface {
	Start(ctx context.Context, server, address string, r *backendconn.Request) (*backendconn.Response, error)
}

// Relay relays requests. It is safe for concurrent use.
type Relay struct {
	dialect   Dialect
	transport Transport
	balancer  *balance.Balancer
	budget    *retrybudget.Budget
	// misdirected is told of a server whose address another one has.
	misdirected func(server string)
}

// New returns a relay.
func New(d Dialect, t Transport, b *balance.Balancer, budget *retrybudget.Budget, misdirected func(string)) *Relay {
	return &Relay{dialect: d, transport: t, balancer: b, budget: budget, misdirected: misdirected}
}

// outcome is what is certain about one attempt.
type outcome int

const (
	// answered attempts have a whole answer that is passed on.
	answered outcome = iota
	// notRun attempts have not run and never will.
	notRun
	// ran attempts have failed, with an answer that says so.
	ran
	// notKnown attempts may have run.
	notKnown
	// brokenOff attempts have ended after a part of the answer went to the
	// caller.
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
}

// Report is the record of one request.
type Report struct {
	Status   int
	Attempts []Attempt
	// Reason says why no answer of a backend server was passed on.
	Reason string
	// WaitedFor says what it last waited for before an attempt; empty for nothing.
	WaitedFor string
	// Waited is the time before the first attempt.
	Waited time.Duration
	// Events is the number of events passed on.
	Events int
	// Aborted means that the caller's connection must be closed.
	Aborted bool
}

// Serve relays one request and writes the answer. The connection must be
// aborted where the report says so.
func (r *Relay) Serve(ctx context.Context, w http.ResponseWriter, q *Request) Report {
	ctx, cancel := context.WithDeadlineCause(ctx, q.Deadline(), errDeadline)
	defer cancel()
	x := &exchange{Relay: r, q: q, w: w, repeatable: q.Route.Repeatable(), lastEventID: q.LastEventID, progress: q.Arrived}
	r.budget.RecordRequest(time.Now(), q.Service.Name)
	x.run(ctx)
	if x.late {
		r.balancer.ReleaseLateSlot(q.Service.Name)
	}
	return x.report
}

var errDeadline = errors.New("the deadline has passed")

// exchange is the state of one request.
type exchange struct {
	*Relay
	q          *Request
	w          http.ResponseWriter
	repeatable bool
	report     Report
	// excluded servers are not asked again.
	excluded map[string]bool
	// mayHaveRun counts the attempts that may have run.
	mayHaveRun int
	turnedAway int
	// begun is true once the head of an answer has gone to the caller.
	begun       bool
	lastEventID string
	// progress is when the caller last got something.
	progress time.Time
	// groupFault is true while the last thing known is a broken group.
	groupFault bool
	// late is true once the request counts among those that are late.
	late bool
	// failure is the last answer that says that the request failed.
	failure *heldAnswer
}

func (x *exchange) run(ctx context.Context) {
	for {
		if !x.waitForGroup(ctx) {
			x.finish(ctx, "the group of engines did not open in time")
			return
		}
		server, ok := x.choose()
		if !ok {
			x.finish(ctx, "no backend server is left")
			return
		}
		if reason := x.comesLate(server); reason != "" {
			x.finish(ctx, reason)
			return
		}
		if len(x.report.Attempts) == 0 {
			x.report.Waited = time.Since(x.q.Arrived)
		} else if !x.waitForBudget(ctx) {
			x.finish(ctx, "the retry budget is used up")
			return
		}
		o := x.attempt(ctx, server)
		if o == answered {
			return
		}
		if !x.again(ctx, o) {
			return
		}
	}
}

// waitForGroup waits while the group of engines is broken or forms, and reports
// whether an attempt is still of use.
func (x *exchange) waitForGroup(ctx context.Context) bool {
	if x.q.Service.Engine == nil {
		return x.left() > leastUseful
	}
	x.groupFault = false
	for {
		hold := x.held(time.Now())
		if hold == "" {
			break
		}
		x.report.WaitedFor = string(hold)
		x.groupFault = hold == balance.WaitGroupBroken
		if !x.worthWaiting(ctx) {
			return false
		}
		wait.For(ctx, brokenCheck)
	}
	x.groupFault = false
	return ctx.Err() == nil && x.left() > leastUseful
}

// held returns why the request has to wait: for the group, or for other late ones since
// it is late itself.
func (x *exchange) held(now time.Time) balance.WaitReason {
	if hold := x.balancer.WaitReason(now, x.q.Service); hold != "" {
		return hold
	}
	target := x.q.Route.TargetLatency
	if x.late || x.begun || x.mayHaveRun > 0 || target <= 0 || now.Sub(x.q.Arrived)+firstEvent <= target {
		return ""
	}
	x.late = x.balancer.AcquireLateSlot(now, x.q.Service)
	if x.late || x.leaves().Sub(now) <= lastChance {
		return ""
	}
	return balance.WaitLateLimit
}

// waitForBudget waits until the service's retry budget allows another attempt.
// Only a request that has certainly not run, and not for want of a place, waits: it
// can still be refused.
func (x *exchange) waitForBudget(ctx context.Context) bool {
	for !x.budget.Acquire(time.Now(), x.q.Service.Name) {
		if x.mayHaveRun > 0 || x.q.Service.Engine == nil || !x.worthWaiting(ctx) {
			return false
		}
		wait.For(ctx, brokenCheck)
	}
	return true
}

// worthWaiting reports whether the caller will still be there when an attempt
// that begins a little later brings its first event.
func (x *exchange) worthWaiting(ctx context.Context) bool {
	return ctx.Err() == nil && time.Until(x.leaves())-firstEvent-brokenCheck > 0
}

// leaves is when the caller leaves if nothing comes.
func (x *exchange) leaves() time.Time {
	deadline := x.q.Deadline()
	r := x.q.Route
	if r.Kind != fleet.Streaming {
		return deadline
	}
	if at := x.progress.Add(max(leaveGap, leaveTargets*r.TargetLatency, leaveGaps*r.TargetGap)); at.Before(deadline) {
		return at
	}
	return deadline
}

// comesLate returns why a request that has certainly not run is better refused; empty
// where it is sent: nothing would come before its caller leaves, or it would join a
// queue that stands, in which all are late.
func (x *exchange) comesLate(s fleet.Server) string {
	target := x.q.Route.TargetLatency
	if x.begun || x.mayHaveRun > 0 || target <= 0 || x.q.Service.Engine == nil {
		return ""
	}
	now := time.Now()
	wait := x.balancer.ExpectedWait(now, x.q.Service, s.ID)
	limits := balance.QueueLimits{MaxWait: target, MaxWaitStanding: max(target-firstEvent, 0)}
	if x.balancer.ShouldRefuse(now, x.q.Service.Name, wait, limits) {
		return fmt.Sprintf("a queue stands at the engines; a slot is expected after %v", wait.Round(time.Millisecond))
	}
	if now.Add(wait + firstEvent).After(x.leaves()) {
		return fmt.Sprintf("a slot is expected after %v, when the caller has left", wait.Round(time.Millisecond))
	}
	return ""
}

func (x *exchange) left() time.Duration { return time.Until(x.q.Deadline()) }

func (x *exchange) choose() (fleet.Server, bool) {
	return x.balancer.Choose(time.Now(), x.q.Service, x.excluded, rand.Float64)
}

func (x *exchange) exclude(id string) {
	if x.excluded == nil {
		x.excluded = make(map[string]bool)
	}
	x.excluded[id] = true
}

// again decides whether another attempt follows an attempt without an answer.
func (x *exchange) again(ctx context.Context, o outcome) bool {
	if ctx.Err() != nil {
		x.finish(ctx, "")
		return false
	}
	switch o {
	case brokenOff:
		if !x.repeatable || x.mayHaveRun >= x.q.Route.MaxAttempts {
			x.abort("the answer broke off")
			return false
		}
	case ran, notKnown:
		if !x.repeatable || x.mayHaveRun >= x.q.Route.MaxAttempts {
			x.finish(ctx, "the request may have run and may not be repeated")
			return false
		}
	case notRun:
		if x.full() {
			x.finish(ctx, "every backend server is full")
			return false
		}
		x.pause(ctx)
	}
	return true
}

// full reports whether the servers have turned the request away so often that a
// place in time is not to be expected: it is refused while its caller has time to
// come back.
func (x *exchange) full() bool {
	return !x.groupFault && x.turnedAway >= fullRounds*max(x.balancer.ServerCount(x.q.Service.Name), 1) ||
		!x.groupFault && x.q.Service.Engine != nil && x.turnedAway >= fullAttempts
}

// pause waits after servers have turned the request away, longer each time: a
// place has to become free, or the group has to form anew.
func (x *exchange) pause(ctx context.Context) {
	last := x.report.Attempts[len(x.report.Attempts)-1]
	if last.Status == 0 || last.Status == http.StatusMisdirectedRequest {
		return
	}
	if x.groupFault {
		clear(x.excluded)
		return // the group's state decides how long to wait
	}
	x.turnedAway++
	servers := x.balancer.ServerCount(x.q.Service.Name)
	if x.q.Service.Engine == nil && x.turnedAway < servers {
		return
	}
	clear(x.excluded)
	bound := min(turnedAwayPause<<min(x.turnedAway-1, 6), maxPause)
	wait.For(ctx, bound/2+rand.N(bound/2))
}

// finish writes the final answer of a request that got none from a backend
// server.
func (x *exchange) finish(ctx context.Context, reason string) {
	if cause := context.Cause(ctx); cause != nil {
		reason = cause.Error()
	}
	x.report.Reason = reason
	if x.begun {
		x.abort(reason)
		return
	}
	if x.failure != nil {
		x.failure.write(x.w)
		x.report.Status = x.failure.status
		return
	}
	switch {
	case x.mayHaveRun == 0:
		x.refuse(http.StatusServiceUnavailable, reason)
	case errors.Is(context.Cause(ctx), errDeadline):
		x.refuse(http.StatusGatewayTimeout, reason)
	default:
		x.refuse(http.StatusBadGateway, reason)
	}
}

func (x *exchange) refuse(status int, reason string) {
	x.report.Status = status
	retryAfter := time.Duration(0)
	if status == http.StatusServiceUnavailable {
		mean := comeBack
		if x.groupFault {
			mean = comeBackGroup
		}
		retryAfter = mean*3/4 + rand.N(mean/2)
	}
	WriteError(x.w, status, reason, retryAfter)
}

func (x *exchange) abort(reason string) {
	x.report.Reason = reason
	x.report.Aborted = true
}
