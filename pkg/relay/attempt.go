package relay

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuehub/fescuehub/pkg/backendconn"
	"github.com/fescuehub/fescuehub/pkg/balance"
	"github.com/fescuehub/fescuehub/pkg/eventstream"
	"github.com/fescuehub/fescuehub/pkg/fleet"
	"github.com/fescuehub/fescuehub/pkg/httphead"
	"github.com/fescuehub/fescuehub/pkg/membudget"
	"github.com/fescuehub/fescuehub/pkg/ratelimit"
)

// maxBufferedBytes bounds the response body that is buffered until it is complete; a longer one
// is streamed to the caller. An entry buffers some hundred responses at a time.
const maxBufferedBytes = 256 << 10

// bufferedResponse is a complete response.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

func (b *bufferedResponse) write(w http.ResponseWriter) {
	copyHeader(w.Header(), b.header)
	w.Header().Set("Content-Length", strconv.Itoa(len(b.body)))
	w.WriteHeader(b.status)
	_, _ = w.Write(b.body) // a disconnected caller cancels the request's context
}

// attempt sends the request to one server. It returns answered only once the caller has the
// complete response.
func (x *exchange) attempt(ctx context.Context, s fleet.Server) outcome {
	began := time.Now()
	tokens := x.q.tokens()
	x.balancer.Begin(began, s.ID, tokens)
	x.attemptEvents, x.resumed = 0, x.started
	if x.resumed {
		x.order.Resume()
	}
	record := Attempt{Server: s.ID}
	latency := time.Duration(0)
	attemptCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var responding atomic.Bool
	defer x.cancelIfUnresponsive(s, &responding, cancel).Stop()
	x.cancelAttempt = cancel
	stopWatch := x.prompts.Watch(x.q.Service.Name, x.suspects, func() { cancel(errQuarantined) })
	defer stopWatch()
	response, err := x.transport.Start(attemptCtx, s.ID, s.Address, x.backendRequest(s))
	var o outcome
	if err != nil {
		o = x.classifyError(s, err)
		record.Error, record.Malformed = err.Error(), httphead.IsMalformed(err)
	} else {
		x.sent++
		responding.Store(true)
		latency = time.Since(began)
		x.balancer.ResponseStarted(time.Now(), s.ID, began)
		record.Status = response.Status
		x.connections = append(x.connections, response.Connection)
		o, err = x.receive(ctx, s, response, began, &record)
		response.Close()
		if err != nil {
			record.Error = err.Error()
		}
	}
	if cause := context.Cause(attemptCtx); errors.Is(cause, errQuarantined) {
		err = cause
	}
	if o == notKnown || o == brokenOff {
		record.ServerEnded = x.checkServer(ctx, s, err, responding.Load())
	}
	took := time.Duration(0)
	if o == answered {
		took = time.Since(began)
		x.recordAnswer()
	}
	x.balancer.End(time.Now(), s.ID, tokens, balance.Result{
		Latency: latency, Duration: took, Refused: o == notRun,
		Failed: o != answered && ctx.Err() == nil && !(o == notRun && record.Status != 0) && !errors.Is(err, errQuarantined),
	})
	record.Outcome, record.Took = o.String(), time.Since(began)
	x.report.Attempts = append(x.report.Attempts, record)
	return o
}

var errUnresponsive = errors.New("backend server is unresponsive while others respond")

// cancelIfUnresponsive starts a timer that cancels the attempt if its server is unresponsive and has
// not begun to respond to it, the request may be repeated, another attempt is left, and the retry budget
// allows it: an attempt that cannot be repeated is left to end, because its server may still respond.
func (x *exchange) cancelIfUnresponsive(s fleet.Server, responding *atomic.Bool, cancel context.CancelCauseFunc) *time.Timer {
	// The timer runs on another goroutine, so it must not read the state of the exchange.
	mayRepeat := x.repeatable && !x.started && x.possibleRuns+1 < x.q.Route.MaxAttempts
	return time.AfterFunc(unresponsiveTimeout, func() {
		now := time.Now()
		if !mayRepeat || responding.Load() || !x.balancer.ShouldAbandon(now, s.ID) || !x.budget.Acquire(now, x.q.Service.Name) {
			return
		}
		x.retryAcquired.Store(true)
		cancel(errUnresponsive)
	})
}

func (x *exchange) backendRequest(s fleet.Server) *backendconn.Request {
	header := x.q.Header.Clone()
	attempt := AttemptHeaders{
		ServerID: s.ID, Remaining: max(x.remaining(), time.Millisecond),
		Organisation: x.q.Organisation, Priority: x.priority(time.Now()),
	}
	if x.started {
		attempt.LastEventID = x.order.Last()
	}
	x.codec.EncodeAttempt(header, attempt)
	return &backendconn.Request{
		Method: x.q.Method, Target: x.q.Target, Host: x.q.Host, Header: header, Body: x.q.Body,
		// The server may have closed an idle connection. Whether a request written to it has run is
		// unknown, so a request that may not be repeated gets a new connection.
		// After the end of a server, a new connection shows that the next one was alive.
		NewConnection: !x.repeatable || x.serverEnded, Excluded: x.connections,
		Matches: func(h http.Header) bool { return x.codec.DecodeResponse(0, h).RequestID == x.q.ID },
	}
}

// classifyError returns the outcome of an attempt that got no response.
func (x *exchange) classifyError(s fleet.Server, err error) outcome {
	x.exclude(s.ID)
	if !errors.Is(err, errQuarantined) {
		x.balancer.AvoidUntil(s.ID, time.Now().Add(failedServerAvoidTime))
	}
	var e *backendconn.Error
	if errors.As(err, &e) && e.NotSent {
		return notRun
	}
	x.sent++
	x.possibleRuns++
	if x.started {
		return brokenOff
	}
	return notKnown
}

// receive processes the headers and then the body of the response to a request that was sent at a time.
func (x *exchange) receive(ctx context.Context, s fleet.Server, response *backendconn.Response, sent time.Time, record *Attempt) (outcome, error) {
	head := x.codec.DecodeResponse(response.Status, response.Header)
	record.RateLimit = head.RateLimit
	x.observe(s, response.Status, head, sent)
	if head.NotRun {
		x.exclude(s.ID)
		if head.GroupFault && x.q.Service.Engine != nil {
			x.groupFault = true
			x.balancer.ReportGroupFault(time.Now(), s.ID)
		}
		return notRun, nil
	}
	x.possibleRuns++
	record.Uncertified = httphead.IsRefusal(response.Status)
	success := response.Status >= 200 && response.Status < 300
	if success && !head.Sealed {
		x.exclude(s.ID)
		return x.brokenOffOr(notKnown), errors.New("successful response lacks the backend server's signature")
	}
	if success && response.Header.Get("Content-Encoding") != "" {
		x.exclude(s.ID)
		return x.brokenOffOr(notKnown), errors.New("successful response has a Content-Encoding, which is not accepted")
	}
	if x.resumed && !x.continuesStream(response) {
		x.exclude(s.ID)
		return brokenOff, errors.Newf("resumed stream got a response with status %d and type %q instead of events", response.Status, mediaType(response.Header))
	}
	if record.Uncertified && !x.repeatable {
		// Passed on, the status would tell the caller that the request may be sent again.
		x.exclude(s.ID)
		return notKnown, errors.Newf("status %d without a certificate that the request did not run", response.Status)
	}
	if success && x.q.Route.Kind == fleet.Streaming {
		return x.relayStream(ctx, s, response)
	}
	return x.relayBuffered(ctx, s, response, success)
}

// observe records what a response says about its server.
func (x *exchange) observe(s fleet.Server, status int, head ResponseHeaders, sent time.Time) {
	if head.WrongServer {
		x.observer.Misdirected(s.ID)
		return
	}
	x.observeRateLimit(s, head.RateLimit, sent)
	if head.Leaving {
		x.observer.Leaving(s.ID, s.Incarnation)
	}
	// Only a server that refuses requests is overloaded. The Retry-After of a failure is for its caller.
	if !head.NotRun || status != http.StatusServiceUnavailable || head.RetryAfter == "" {
		return
	}
	pause, ok := serverPause(head.RetryAfter)
	if !ok {
		x.observer.RetryAfterIgnored(s.ID, head.RetryAfter)
	}
	if pause > 0 {
		now := time.Now()
		// Entries that were refused at the same time do not return at the same time.
		x.balancer.Pause(now, s, now.Add(pause+rand.N(min(pause/4, maxPauseJitter)+1)))
	}
}

// observeRateLimit records the rate limit that a response states. A malformed one says nothing.
func (x *exchange) observeRateLimit(s fleet.Server, value string, sent time.Time) {
	rate, limited, err := ratelimit.ParseRate(value)
	if err != nil {
		x.observer.RateLimitIgnored(s.ID, err)
	}
	if limited || err == nil {
		x.limits.Observe(ratelimit.Statement{Server: s.ID, Incarnation: s.Incarnation, Limited: limited, Rate: rate, Sent: sent, Received: time.Now()})
	}
}

// brokenOffOr returns brokenOff if the response to the caller has started, and o otherwise.
func (x *exchange) brokenOffOr(o outcome) outcome {
	if x.started {
		return brokenOff
	}
	return o
}

// relayBuffered reads a response that is not an event stream into memory and passes it on. The
// remainder of a body longer than maxBufferedBytes, or for which no memory is left, is streamed.
func (x *exchange) relayBuffered(ctx context.Context, s fleet.Server, response *backendconn.Response, success bool) (outcome, error) {
	body, err := membudget.Read(response.Body, maxBufferedBytes+1, x.q.claim)
	whole := err == nil && len(body) <= maxBufferedBytes
	if err != nil && !errors.Is(err, membudget.ErrNoMemory) {
		x.exclude(s.ID)
		return x.brokenOffOr(notKnown), errors.Wrap(err, "read the response body")
	}
	if whole && x.cutShort(ctx, s, response) {
		x.exclude(s.ID)
		return x.brokenOffOr(notKnown), errCutShort
	}
	buffered := &bufferedResponse{status: response.Status, header: response.Header, body: body}
	if !success && x.repeatable && response.Status >= 500 {
		x.exclude(s.ID)
		x.failedResponse = buffered
		return ran, nil
	}
	x.report.Status = response.Status
	if !whole {
		return x.relayUnbuffered(ctx, s, response, buffered)
	}
	buffered.write(x.w)
	return answered, nil
}

// relayUnbuffered passes on a response that is too long to be buffered: first the part that has
// been read, then the remainder as it arrives. The request's deadline ends a response without an end.
func (x *exchange) relayUnbuffered(ctx context.Context, s fleet.Server, response *backendconn.Response, buffered *bufferedResponse) (outcome, error) {
	copyHeader(x.w.Header(), buffered.header)
	if response.Length >= 0 {
		x.w.Header().Set("Content-Length", strconv.FormatInt(response.Length, 10))
	}
	x.w.WriteHeader(buffered.status)
	x.started = true
	x.repeatable = false
	if _, err := x.w.Write(buffered.body); err != nil {
		return brokenOff, errors.Wrap(err, "write the response to the caller")
	}
	if _, err := io.Copy(x.w, response.Body); err != nil {
		return brokenOff, errors.Wrap(err, "copy the response body to the caller")
	}
	if x.cutShort(ctx, s, response) {
		return brokenOff, errCutShort
	}
	return answered, nil
}

// relayStream passes on complete events as they arrive.
func (x *exchange) relayStream(ctx context.Context, s fleet.Server, response *backendconn.Response) (outcome, error) {
	events := eventstream.NewReader(response.Body, x.maxEventBytes)
	stall := newStallTimer(x.stallTimeout(), x.cancelAttempt)
	defer stall.stop()
	for {
		e, err := events.Next()
		if err == io.EOF && x.cutShort(ctx, s, response) {
			x.exclude(s.ID)
			return x.brokenOffOr(notKnown), errCutShort
		}
		if err == io.EOF {
			if !x.started {
				x.startResponse(response)
			}
			x.report.Status = response.Status
			return answered, nil
		}
		if err != nil {
			x.exclude(s.ID)
			if ctx.Err() != nil {
				err = context.Cause(ctx)
			} else if stall.expired() {
				err = errStalled
			}
			return x.brokenOffOr(notKnown), errors.Wrap(err, "read the event stream")
		}
		if err := x.order.Accept(e); err != nil {
			x.exclude(s.ID)
			return x.brokenOffOr(notKnown), err
		}
		if !e.Comment {
			stall.reset()
			x.balancer.Progress(time.Now(), s.ID)
			x.recordEvent()
			x.recordGap(time.Now())
		}
		if !x.started {
			x.startResponse(response)
		}
		if err := x.forwardEvent(e); err != nil {
			return brokenOff, errors.Wrap(err, "write the response to the caller")
		}
	}
}

// continuesStream reports whether a response can continue the stream that another one has started. One that
// states no media type can.
func (x *exchange) continuesStream(response *backendconn.Response) bool {
	t := mediaType(response.Header)
	return response.Status == http.StatusOK && (t == "" || t == x.streamType)
}

// mediaType returns the media type of a response without its parameters.
func mediaType(h http.Header) string {
	name, _, _ := strings.Cut(h.Get("Content-Type"), ";")
	return strings.ToLower(strings.TrimSpace(name))
}

func (x *exchange) startResponse(response *backendconn.Response) {
	x.started, x.streamType = true, mediaType(response.Header)
	copyHeader(x.w.Header(), response.Header)
	x.w.WriteHeader(response.Status)
}

func (x *exchange) forwardEvent(e eventstream.Event) error {
	if _, err := x.w.Write(e.Raw); err != nil {
		return err
	}
	if f, ok := x.w.(http.Flusher); ok {
		f.Flush()
	}
	if !e.Comment {
		x.report.Events++
		x.lastProgress = time.Now()
	}
	return nil
}
