package lifecycle_test

import (
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/fescuehub/fescuehub/pkg/drain"
	"github.com/fescuehub/fescuehub/pkg/lifecycle"
	"github.com/fescuehub/fescuehub/pkg/problem"
)

var plan = drain.Plan{Linger: 10 * time.Second, Timeout: time.Minute}

func TestDrainWaitsForRequestsInFlight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := lifecycle.New(zap.NewNop(), plan)
		if err := l.Begin(); err != nil {
			t.Fatal(err)
		}
		l.Drain()
		time.Sleep(5 * time.Second)
		if err := l.Begin(); err != nil {
			t.Fatalf("a request was refused within the linger time: %v", err)
		}
		l.Done()
		time.Sleep(6 * time.Second)
		if err := l.Begin(); !problem.Is(err, problem.Draining) || problem.Of(err).Outcome != problem.NotRun {
			t.Fatalf("got %v, want a Draining error with outcome NotRun", err)
		}
		select {
		case <-l.Ended():
			t.Fatal("ended with a request in flight")
		default:
		}
		l.Done()
		<-l.Ended()
		if err := l.Err(); err != nil {
			t.Fatal(err)
		}
	})
}

func TestDrainEndsAtTimeoutOrSecondCall(t *testing.T) {
	for _, calls := range []int{1, 2} {
		synctest.Test(t, func(t *testing.T) {
			l := lifecycle.New(zap.NewNop(), plan)
			start := time.Now()
			_ = l.Begin()
			for range calls {
				l.Drain()
			}
			<-l.Ended()
			if elapsed := time.Since(start); calls == 1 && elapsed < plan.Timeout || calls == 2 && elapsed > time.Second {
				t.Fatalf("%d calls of Drain: ended after %v", calls, elapsed)
			}
			if l.AbortedRequests() != 1 || l.Err() == nil {
				t.Fatalf("got %d aborted requests, want 1 and an error", l.AbortedRequests())
			}
		})
	}
}
