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
	relayBytes      = 32 << 10
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
	defer a.life.Done()
	defer a.bound.end()
	a.scope.Counter("attempts_started").Inc(1)
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(request.DeadlineMS)*time.Millisecond)
	defer cancel()
	if err := a.run(ctx, out, request, body); err != nil {
		a.scope.Counter("attempts_failed").Inc(1)
		out.Fail(err)
	}
}

// serveWrite serves a try of an unrepeatable call. The ledger of its key, not
// the attempt, decides whether it runs.
func (a *Agent) serveWrite(ctx context.Context, out *agentlink.FrameWriter, request agentlink.AttemptRequest, body []byte) {
	if err := a.checkAttempt(request); err != nil {
		a.scope.Counter("attempts_refused").Inc(1)
		out.Fail(err)
		return
	}
	accepting := a.life.Begin() == nil
	ctx, cancel := context.WithTimeout(ctx, time.Duration(request.DeadlineMS)*time.Millisecond)
	defer cancel()
	res := a.writes.do(ctx, request, body, accepting && request.Pool == a.settings.Pool)
	writeResult(out, res)
	if !accepting {
		return
	}
	if res.started == nil {
		a.life.Done()
		return
	}
	go func() {
		<-res.started.done
		a.life.Done()
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
	for chunk := range slices.Chunk(res.answer.Body, relayBytes) {
		if out.Write(frame.Frame{Data: chunk}) != nil {
			return
		}
	}
	_ = out.Write(frame.Frame{Last: true})
}

// checkAttempt refuses an attempt that is not for this incarnation, has no
// time left, or was sent before.
func (a *Agent) checkAttempt(request agentlink.AttemptRequest) error {
	if request.Incarnation != a.incarnation {
		return problem.New(problem.WrongIncarnation, "choose the replica again",
			"the attempt is for another life of this agent").WithOutcome(problem.NotRun)
	}
	if request.DeadlineMS <= 0 {
		return problem.New(problem.DeadlineExceeded, "send the request with more time",
			"no time was left for the attempt").WithOutcome(problem.NotRun)
	}
	return a.attempts.begin(time.Since(a.started), request.Attempt)
}

// admit decides whether the attempt may run. A refused attempt stays refused.
func (a *Agent) admit(request agentlink.AttemptRequest) error {
	if err := a.checkAttempt(request); err != nil {
		return err
	}
	if err := a.life.Begin(); err != nil {
		return err
	}
	if err := a.bound.begin(a.concurrency()); err != nil {
		a.life.Done()
		return err
	}
	return nil
}

// run sends the attempt to the backend server and its answer to the entry.
func (a *Agent) run(ctx context.Context, out *agentlink.FrameWriter, request agentlink.AttemptRequest, body []byte) error {
	res, err := a.backend.Send(ctx, request, body)
	if err != nil {
		return deadlineOr(ctx, err)
	}
	defer res.Body.Close()
	if err := out.Write(frame.Frame{Status: res.StatusCode, Header: res.Header}); err != nil {
		return err
	}
	return a.relay(ctx, out, request, res)
}

func (a *Agent) relay(ctx context.Context, out *agentlink.FrameWriter, request agentlink.AttemptRequest, res *http.Response) error {
	whole := &streamCheck{required: request.Stream && res.StatusCode == http.StatusOK}
	buf := make([]byte, relayBytes)
	for {
		n, err := res.Body.Read(buf)
		if n > 0 {
			whole.add(buf[:n])
			if werr := out.Write(frame.Frame{Data: buf[:n]}); werr != nil {
				return werr
			}
		}
		if err == io.EOF && whole.ok() {
			return out.Write(frame.Frame{Last: true})
		}
		if err != nil {
			return deadlineOr(ctx, truncated(err))
		}
	}
}

// streamCheck tells whether a stream of events has come to its end marker.
type streamCheck struct {
	required bool
	tail     []byte
}

func (c *streamCheck) add(data []byte) {
	if !c.required {
		return
	}
	const kept = 2 * len(engine.DoneMarker)
	c.tail = append(c.tail, data...)
	if len(c.tail) > kept {
		c.tail = append(c.tail[:0], c.tail[len(c.tail)-kept:]...)
	}
}

func (c *streamCheck) ok() bool {
	return !c.required || bytes.HasSuffix(bytes.TrimSpace(c.tail), []byte(engine.DoneMarker))
}

func truncated(cause error) error {
	return problem.New(problem.TruncatedAnswer, "send the request again if it is idempotent",
		"the backend server broke its answer off: %v", cause).WithOutcome(problem.NotKnown)
}

// deadlineOr replaces err by the reason why ctx has ended, if it has.
func deadlineOr(ctx context.Context, err error) error {
	var cut *problem.Error
	if errors.As(context.Cause(ctx), &cut) {
		return cut
	}
	if ctx.Err() == context.DeadlineExceeded {
		return problem.New(problem.DeadlineExceeded, "send the request again with more time",
			"the backend server did not finish within the deadline").WithOutcome(problem.NotKnown)
	}
	return err
}
