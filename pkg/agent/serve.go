package agent

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuehub/fescuehub/pkg/frame"
	"github.com/fescuehub/fescuehub/pkg/peer/agentlink"
	"github.com/fescuehub/fescuehub/pkg/peer/engine"
	"github.com/fescuehub/fescuehub/pkg/problem"
)

const (
	maxAttemptBytes = 72 << 20
	relayChunkBytes = 32 << 10
)

func (a *Agent) serveAttempt(w http.ResponseWriter, r *http.Request) {
	request, body, err := agentlink.ReadAttempt(w, r, maxAttemptBytes)
	if err != nil {
		a.scope.Counter("attempts_malformed").Inc(1)
		agentlink.NewFrameWriter(w, request.Attempt).Fail(err)
		return
	}
	out := agentlink.NewFrameWriter(w, request.Attempt)
	out.Load = a.frameLoad
	if request.Key != "" {
		a.serveWrite(r.Context(), out, request, body)
		return
	}
	if err := a.admit(request); err != nil {
		a.scope.Counter("attempts_refused").Inc(1)
		out.Fail(err)
		return
	}
	defer a.lifecycle.Done()
	defer a.limiter.release()
	a.scope.Counter("attempts_started").Inc(1)
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(request.DeadlineMS)*time.Millisecond)
	defer cancel()
	if err := a.run(ctx, out, request, body); err != nil {
		a.scope.Counter("attempts_failed").Inc(1)
		out.Fail(err)
	}
}

// serveWrite serves an attempt of an unrepeatable call. The ledger of its key, not the attempt
// id, decides whether the call is executed.
func (a *Agent) serveWrite(ctx context.Context, out *agentlink.FrameWriter, request agentlink.AttemptRequest, body []byte) {
	if err := a.checkAttempt(request); err != nil {
		a.scope.Counter("attempts_refused").Inc(1)
		out.Fail(err)
		return
	}
	accepting := a.lifecycle.Begin() == nil
	ctx, cancel := context.WithTimeout(ctx, time.Duration(request.DeadlineMS)*time.Millisecond)
	defer cancel()
	res := a.writes.process(ctx, request, body, accepting && request.Pool == a.settings.Pool)
	writeResult(out, res)
	if !accepting {
		return
	}
	if res.execution == nil {
		a.lifecycle.Done()
		return
	}
	go func() {
		<-res.execution.done
		a.lifecycle.Done()
	}()
}

func writeResult(out *agentlink.FrameWriter, res result) {
	if res.err != nil {
		_ = out.Write(frame.Frame{Last: true, Failure: res.err, Owner: res.owner})
		return
	}
	if out.Write(frame.Frame{Status: res.answer.Status, Header: res.answer.Header}) != nil {
		return
	}
	for chunk := range slices.Chunk(res.answer.Body, relayChunkBytes) {
		if out.Write(frame.Frame{Data: chunk}) != nil {
			return
		}
	}
	_ = out.Write(frame.Frame{Last: true})
}

// checkAttempt refuses an attempt that is for another incarnation, is past its deadline, or was
// sent before.
func (a *Agent) checkAttempt(request agentlink.AttemptRequest) error {
	if request.Incarnation != a.incarnation {
		return problem.New(problem.WrongIncarnation, "choose the replica again",
			"the attempt is for another incarnation of this agent").WithOutcome(problem.NotRun)
	}
	if request.DeadlineMS <= 0 {
		return problem.New(problem.DeadlineExceeded, "send the request with more time",
			"the deadline of the attempt had passed when it arrived").WithOutcome(problem.NotRun)
	}
	return a.attempts.admit(time.Since(a.started), request.Attempt)
}

// admit decides whether the attempt may run. A refused attempt stays refused.
func (a *Agent) admit(request agentlink.AttemptRequest) error {
	if err := a.checkAttempt(request); err != nil {
		return err
	}
	if err := a.lifecycle.Begin(); err != nil {
		return err
	}
	if err := a.limiter.acquire(a.concurrency()); err != nil {
		a.lifecycle.Done()
		return err
	}
	return nil
}

// run sends the attempt to the backend server and relays the answer to the entry.
func (a *Agent) run(ctx context.Context, out *agentlink.FrameWriter, request agentlink.AttemptRequest, body []byte) error {
	res, err := a.backend.Send(ctx, request, body)
	if err != nil {
		return contextErrorOr(ctx, err)
	}
	defer res.Body.Close()
	if err := out.Write(frame.Frame{Status: res.StatusCode, Header: res.Header}); err != nil {
		return err
	}
	return a.relay(ctx, out, request, res)
}

// relay copies the answer to the entry. It fails if the answer ends early; an event stream has
// ended early if its end marker is missing.
func (a *Agent) relay(ctx context.Context, out *agentlink.FrameWriter, request agentlink.AttemptRequest, res *http.Response) error {
	check := &endMarkerCheck{required: request.Stream && res.StatusCode == http.StatusOK}
	buf := make([]byte, relayChunkBytes)
	for {
		n, err := res.Body.Read(buf)
		if n > 0 {
			check.add(buf[:n])
			if werr := out.Write(frame.Frame{Data: buf[:n]}); werr != nil {
				return werr
			}
		}
		if err == io.EOF && check.complete() {
			return out.Write(frame.Frame{Last: true})
		}
		if err != nil {
			return contextErrorOr(ctx, truncatedAnswer(err))
		}
	}
}

// endMarkerCheck detects whether an event stream ends with its end marker.
type endMarkerCheck struct {
	required bool
	tail     []byte
}

func (c *endMarkerCheck) add(data []byte) {
	if !c.required {
		return
	}
	const tailBytes = 2 * len(engine.DoneMarker)
	c.tail = append(c.tail, data...)
	if len(c.tail) > tailBytes {
		c.tail = append(c.tail[:0], c.tail[len(c.tail)-tailBytes:]...)
	}
}

func (c *endMarkerCheck) complete() bool {
	return !c.required || bytes.HasSuffix(bytes.TrimSpace(c.tail), []byte(engine.DoneMarker))
}

func truncatedAnswer(cause error) error {
	return problem.New(problem.TruncatedAnswer, "send the request again if it is idempotent",
		"the backend server's answer was cut off: %v", cause).WithOutcome(problem.NotKnown)
}

// contextErrorOr returns the reason why ctx has ended, or err if ctx has not ended.
func contextErrorOr(ctx context.Context, err error) error {
	var cause *problem.Error
	if errors.As(context.Cause(ctx), &cause) {
		return cause
	}
	if ctx.Err() == context.DeadlineExceeded {
		return problem.New(problem.DeadlineExceeded, "send the request again with more time",
			"the backend server did not finish within the deadline").WithOutcome(problem.NotKnown)
	}
	return err
}
