package entry

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/fescuehub/fescuehub/pkg/ident"
	"github.com/fescuehub/fescuehub/pkg/problem"
	"github.com/fescuehub/fescuehub/pkg/writeonce"
)

// TestStatusPromisesNothingAfterRun guards against a call that its caller sends again under a new key: an attempt may have
// run, and the last one ended with an error whose status says that nothing has.
func TestStatusPromisesNothingAfterRun(t *testing.T) {
	unreachable := problem.New(problem.BackendUnreachable, "r", "d").WithOutcome(problem.NotKnown)
	for _, kind := range []problem.Kind{problem.Overloaded, problem.NoReplica, problem.Draining, problem.LogUnavailable, problem.Unavailable} {
		last := problem.New(kind, "r", "d").WithOutcome(problem.NotRun).WithRetryAfter(1)
		for name, c := range map[string]struct {
			x        exchange
			promises bool
		}{
			"write, nothing sent":       {exchange{call: newCall(t)}, true},
			"write, an attempt unknown": {exchange{call: newCall(t, unreachable)}, false},
			"POST, nothing sent":        {exchange{}, true},
			"POST, an attempt unknown":  {exchange{mayHaveRun: true}, false},
			"GET, an attempt unknown":   {exchange{mayHaveRun: true, idempotent: true}, true},
		} {
			err := error(last)
			if c.x.call != nil {
				err = c.x.call.FinalError(last, nil)
			}
			w := httptest.NewRecorder()
			newAnswerWriter(w, false).fail(c.x.withoutPromise(c.x.withRequestOutcome(err)))
			promises := w.Code == http.StatusServiceUnavailable || w.Code == http.StatusTooManyRequests
			if promises != c.promises || promises == (w.Code == http.StatusBadGateway) {
				t.Errorf("%s, %s: status %d, want one that promises that nothing has run: %v", name, kind, w.Code, c.promises)
			}
		}
	}
}

// newCall returns a call with attempts that ended with the failures.
func newCall(t *testing.T, failures ...*problem.Error) *writeonce.Call {
	t.Helper()
	key, err := writeonce.ParseKey(ident.NewKey())
	if err != nil {
		t.Fatal(err)
	}
	call := writeonce.NewCall(key, true)
	for _, f := range failures {
		call.RecordFailure("agent-1@1", f, "")
	}
	return call
}

// TestUncertifiedAnswerIsNotPassedOn guards against an unrepeatable call that runs twice because its service fails it with
// a status that tells callers to send it again. An idempotent call keeps the service's answer.
func TestUncertifiedAnswerIsNotPassedOn(t *testing.T) {
	for status := 200; status < 600; status++ {
		promises := status == 408 || status == 421 || status == 429 || status == 503
		for _, idempotent := range []bool{false, true} {
			x := exchange{idempotent: idempotent}
			err := x.checkRefusal(status)
			if (err != nil) != (promises && !idempotent) {
				t.Errorf("status %d, idempotent %v: %v", status, idempotent, err)
			}
			if err != nil && (problem.Of(err).Outcome != problem.NotKnown || problem.Of(err).Status() != http.StatusBadGateway) {
				t.Errorf("status %d: %v with status %d, want 502 and the outcome not-known", status, err, problem.Of(err).Status())
			}
		}
	}
	if !isReplicaFailure(context.Background(), problem.New(problem.NotCertified, "r", "d")) {
		t.Error("a replica that fails with 503 does not count as failing")
	}
}
