package retry

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/fescuehub/fescuehub/pkg/problem"
)

var start = time.Unix(1_700_000_000, 0)

// TestBudgetIsNeverExceeded checks that, over any sequence of events, the retries stay within the
// burst, the floor and the ratio, and that no unsafe, late or partly answered request is retried.
func TestBudgetIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{
			Ratio:          rapid.Float64Range(0, 1).Draw(t, "ratio"),
			FloorPerSecond: rapid.Float64Range(0, 5).Draw(t, "floor"),
			Burst:          rapid.Float64Range(0, 10).Draw(t, "burst"),
			NotRunCost:     rapid.Float64Range(0.01, 1).Draw(t, "not-run cost"),
			MaxAttempts:    rapid.IntRange(1, 5).Draw(t, "max attempts"),
			InitialBackoff: 10 * time.Millisecond, MaxBackoff: 40 * time.Millisecond,
		}
		now := start
		p := New(limits, now)
		firsts, spent := 0, 0.0
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "first") {
				p.RecordRequest(now)
				firsts++
				continue
			}
			f := Failure{
				Kind:            rapid.SampledFrom([]problem.Kind{problem.Overloaded, problem.BackendUnreachable, problem.BadRequest}).Draw(t, "kind"),
				Outcome:         rapid.SampledFrom([]problem.Outcome{problem.NotRun, problem.NotKnown, problem.Ran, ""}).Draw(t, "outcome"),
				Idempotent:      rapid.Bool().Draw(t, "idempotent"),
				ResponseStarted: rapid.Bool().Draw(t, "response started"),
				Attempts:        rapid.IntRange(1, 6).Draw(t, "attempts"),
				Remaining:       time.Duration(rapid.IntRange(-10, 1000).Draw(t, "remaining")) * time.Millisecond,
				MinUsefulTime:   time.Duration(rapid.IntRange(0, 500).Draw(t, "min useful time")) * time.Millisecond,
			}
			v := p.Decide(now, f, rapid.Uint64().Draw(t, "random"))
			if !v.Retry {
				continue
			}
			if f.ResponseStarted || f.Attempts >= limits.MaxAttempts || f.Remaining-v.Wait <= f.MinUsefulTime || f.Kind == problem.BadRequest ||
				f.Outcome != problem.NotRun && !f.Idempotent {
				t.Fatalf("retried %+v after a delay of %v", f, v.Wait)
			}
			if v.Wait < 0 || v.Wait >= limits.MaxBackoff {
				t.Fatalf("delay %v is outside of the backoff bounds", v.Wait)
			}
			cost := 1.0
			if f.Outcome == problem.NotRun {
				cost = limits.NotRunCost
			}
			spent += cost
			bound := limits.Burst + limits.Ratio*float64(firsts) + limits.FloorPerSecond*now.Sub(start).Seconds()
			if spent > bound+1e-6 {
				t.Fatalf("retries cost %.3f, allowed are %.3f", spent, bound)
			}
		}
	})
}

// TestRefusalReasons checks that each failure that must not be retried is refused with its reason,
// and that a retryable one is retried.
func TestRefusalReasons(t *testing.T) {
	good := Failure{Kind: problem.BackendUnreachable, Outcome: problem.NotKnown, Idempotent: true, Attempts: 1, Remaining: time.Minute}
	with := func(change func(*Failure)) Failure {
		f := good
		change(&f)
		return f
	}
	for _, c := range []struct {
		f    Failure
		want Reason
	}{
		{good, ""},
		{with(func(f *Failure) { f.Idempotent = false }), Unsafe},
		{with(func(f *Failure) { f.Idempotent = false; f.Outcome = problem.NotRun }), ""},
		{with(func(f *Failure) { f.ResponseStarted = true }), ResponseStarted},
		{with(func(f *Failure) { f.Kind = problem.KeyReused }), NotTransient},
		{with(func(f *Failure) { f.Attempts = DefaultLimits.MaxAttempts }), TooManyAttempts},
		{with(func(f *Failure) { f.Remaining = time.Second; f.MinUsefulTime = time.Second }), OutOfTime},
	} {
		if v := New(DefaultLimits, start).Decide(start, c.f, 0); v.Reason != c.want || v.Retry != (c.want == "") {
			t.Errorf("%+v: got %+v, want reason %q", c.f, v, c.want)
		}
	}
	p := New(DefaultLimits, start)
	for range int(DefaultLimits.Burst) {
		p.Decide(start, good, 0)
	}
	if v := p.Decide(start, good, 0); v.Reason != OverBudget {
		t.Errorf("got %+v with an empty budget, want reason over-budget", v)
	}
}

// BenchmarkDecide measures one decision.
func BenchmarkDecide(b *testing.B) {
	p := New(DefaultLimits, start)
	f := Failure{Kind: problem.BackendUnreachable, Outcome: problem.NotRun, Attempts: 1, Remaining: time.Minute}
	for i := range b.N {
		p.RecordRequest(start)
		p.Decide(start, f, uint64(i))
	}
}
