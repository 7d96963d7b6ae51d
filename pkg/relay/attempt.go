package relay

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuehub/fescuehub/pkg/backendconn"
	"github.com/fescuehub/fescuehub/pkg/balance"
	"github.com/fescuehub/fescuehub/pkg/eventstream"
	"github.com/fescuehub/fescuehub/pkg/fleet"
)

// maxHeldBytes bounds an answer that is held until it is whole; a longer one is
// passed on as it comes.
const maxHeldBytes = 1 << 20

// heldAnswer is a whole answer.
type heldAnswer struct {
	status int
	header http.Header
	body   []byte
}

func (a *heldAnswer) write(w http.ResponseWriter) {
	copyHeader(w.Header(), a.header)
	w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	w.WriteHeader(a.status)
	_, _ = w.Write(a.body) // a caller that has gone is seen by its context
}

// attempt sends the request to one server. It returns answered only when the
// caller has the whole answer.
func (x *exchange) attempt(ctx context.Context, s fleet.Server) outcome {
	began := time.Now()
	tokens := x.q.tokens()
	x.balancer.Begin(began, s.ID, tokens)
	record := Attempt{Server: s.ID}
	latency := time.Duration(0)
	call, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer x.giveUpHanging(s, cancel).Stop()
	answer, err := x.transport.Start(call, s.ID, s.Address, x.request(s))
	var o outcome
	if err != nil {
		o = x.unanswered(s, err)
		record.Error = err.Error()
	} else {
		latency = time.Since(began)
		x.balancer.ResponseStarted(time.Now(), s.ID, began)
		record.Status = answer.Status
		o, err = x.take(ctx, s, answer)
		answer.Close()
		if err != nil {
			record.Error = err.Error()
		}
	}
	took := time.Duration(0)
	if o == answered {
		took = time.Since(began)
	}
	x.balancer.End(time.Now(), s.ID, tokens, balance.Result{
		Latency: latency, Duration: took, Refused: o == notRun,
		Failed: o != answered && ctx.Err() == nil && !(o == notRun && record.Status != 0),
	})
	record.Outcome, record.Took = o.String(), time.Since(began)
	x.report.Attempts = append(x.report.Attempts, record)
	return o
}

var errHangs = errors.New("the server answers nothing while others answer")

// giveUpHanging ends an attempt at a server that hangs, where the request may be
// repeated and another attempt is left.
func (x *exchange) giveUpHanging(s fleet.Server, cancel context.CancelCauseFunc) *time.Timer {
	return time.AfterFunc(hangCheck, func() {
		if x.repeatable && !x.begun && x.mayHaveRun+1 < x.q.Route.MaxAttempts && x.balancer.Unresponsive(time.Now(), s.ID) {
			cancel(errHangs)
		}
	})
}

func (x *exchange) request(s fleet.Server) *backendconn.Request {
	header := x.q.Header.Clone()
	attempt := AttemptHeaders{
		ServerID: s.ID, Remaining: max(x.left(), time.Millisecond),
		Organisation: x.q.Organisation, Priority: x.q.Priority,
	}
	if x.begun {
		attempt.LastEventID = x.lastEventID
	}
	x.dialect.EncodeAttempt(header, attempt)
	return &backendconn.Request{
		Method: x.q.Method, Target: x.q.Target, Host: x.q.Host, Header: header, Body: x.q.Body,
		// An idle connection may be gone unseen: what is sent on it may have run.
		NewConnection: !x.repeatable,
		Matches:       func(h http.Header) bool { return x.dialect.DecodeResponse(0, h).RequestID == x.q.ID },
	}
}

// unanswered classifies an exchange without an answer.
func (x *exchange) unanswered(s fleet.Server, err error) outcome {
	x.exclude(s.ID)
	x.balancer.AvoidUntil(s.ID, time.Now().Add(suspectTime))
	var e *backendconn.Error
	if errors.As(err, &e) && e.NotSent {
		return notRun
	}
	x.mayHaveRun++
	if x.begun {
		return brokenOff
	}
	return notKnown
}

// take takes an answer's head and then its body.
func (x *exchange) take(ctx context.Context, s fleet.Server, a *backendconn.Response) (outcome, error) {
	head := x.dialect.DecodeResponse(a.Status, a.Header)
	if head.WrongServer {
		x.misdirected(s.ID)
	}
	if head.NotRun {
		x.exclude(s.ID)
		if head.GroupFault && x.q.Service.Engine != nil {
			x.groupFault = true
			x.balancer.ReportGroupFault(time.Now(), s.ID)
		}
		return notRun, nil
	}
	x.mayHaveRun++
	success := a.Status >= 200 && a.Status < 300
	if success && !head.Sealed {
		x.exclude(s.ID)
		return x.brokenOr(notKnown), errors.New("a success without the server's seal")
	}
	if success && a.Header.Get("Content-Encoding") != "" {
		x.exclude(s.ID)
		return x.brokenOr(notKnown), errors.New("a success with an encoded body")
	}
	if success && x.q.Route.Kind == fleet.Streaming {
		return x.stream(ctx, s, a)
	}
	return x.whole(ctx, s, a, success)
}

func (x *exchange) brokenOr(o outcome) outcome {
	if x.begun {
		return brokenOff
	}
	return o
}

// whole reads an answer that is no stream and passes it on.
func (x *exchange) whole(ctx context.Context, s fleet.Server, a *backendconn.Response, success bool) (outcome, error) {
	body, err := io.ReadAll(io.LimitReader(a.Body, maxHeldBytes+1))
	if err != nil {
		x.exclude(s.ID)
		return x.brokenOr(notKnown), errors.Wrap(err, "read the body")
	}
	if x.begun {
		x.exclude(s.ID)
		return brokenOff, errors.Newf("a resumed stream was answered with status %d", a.Status)
	}
	held := &heldAnswer{status: a.Status, header: a.Header, body: body}
	if !success && x.repeatable && a.Status >= 500 {
		x.exclude(s.ID)
		x.failure = held
		return ran, nil
	}
	x.report.Status = a.Status
	if len(body) > maxHeldBytes {
		return x.long(ctx, a, held)
	}
	held.write(x.w)
	return answered, nil
}

// long passes on the rest of an answer that is too long to be held.
func (x *exchange) long(_ context.Context, a *backendconn.Response, held *heldAnswer) (outcome, error) {
	copyHeader(x.w.Header(), held.header)
	if a.Length >= 0 {
		x.w.Header().Set("Content-Length", strconv.FormatInt(a.Length, 10))
	}
	x.w.WriteHeader(held.status)
	x.begun = true
	x.repeatable = false
	if _, err := x.w.Write(held.body); err != nil {
		return brokenOff, errors.Wrap(err, "write to the caller")
	}
	if _, err := io.Copy(x.w, a.Body); err != nil {
		return brokenOff, errors.Wrap(err, "pass on the body")
	}
	return answered, nil
}

// stream passes on whole events as they come.
func (x *exchange) stream(ctx context.Context, s fleet.Server, a *backendconn.Response) (outcome, error) {
	events := eventstream.NewReader(a.Body)
	for {
		e, err := events.Next()
		if err == io.EOF {
			if !x.begun {
				x.begin(a)
			}
			x.report.Status = a.Status
			return answered, nil
		}
		if err != nil {
			x.exclude(s.ID)
			if ctx.Err() != nil {
				err = context.Cause(ctx)
			}
			return x.brokenOr(notKnown), errors.Wrap(err, "read the stream")
		}
		if !x.follows(e) {
			x.exclude(s.ID)
			return x.brokenOr(notKnown), errors.Newf("event %q does not follow %q", e.ID, x.lastEventID)
		}
		if !x.begun {
			x.begin(a)
		}
		if err := x.forward(e); err != nil {
			return brokenOff, errors.Wrap(err, "write to the caller")
		}
	}
}

// follows reports whether an event is the next one. Events without a number are
// taken as they come.
func (x *exchange) follows(e eventstream.Event) bool {
	last, errLast := strconv.ParseInt(x.lastEventID, 10, 64)
	id, errID := strconv.ParseInt(e.ID, 10, 64)
	return errLast != nil || errID != nil || id == last+1
}

func (x *exchange) begin(a *backendconn.Response) {
	x.begun = true
	copyHeader(x.w.Header(), a.Header)
	x.w.WriteHeader(a.Status)
}

func (x *exchange) forward(e eventstream.Event) error {
	if _, err := x.w.Write(e.Raw); err != nil {
		return err
	}
	if f, ok := x.w.(http.Flusher); ok {
		f.Flush()
	}
	if e.ID != "" {
		x.lastEventID = e.ID
	}
	x.report.Events++
	x.progress = time.Now()
	return nil
}
