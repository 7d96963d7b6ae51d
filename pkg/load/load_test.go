package load

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/fescuehub/fescuehub/pkg/peer/engine"
	"github.com/fescuehub/fescuehub/pkg/problem"
	standin "github.com/fescuehub/fescuehub/pkg/standin/engine"
)

func options() Options {
	return Options{
		Entries: []string{"127.0.0.1:1"}, Seed: 1, Rate: 100, Duration: time.Minute, Shape: Steady,
		Organisations: []Organisation{{"large", 3}, {"small", 1}}, ModelRoute: "m", ServiceRoute: "s",
		ModelShare: 0.5, WriteShare: 0.5, Tokens: 4, Prompts: 10, Timeout: 5 * time.Second,
	}
}

// TestPlanFollowsOptions checks that a seed determines the plan, and that the arrival rate, the
// mix of requests and the shape follow the options.
func TestPlanFollowsOptions(t *testing.T) {
	o := options()
	plan := Plan(o)
	if !reflect.DeepEqual(plan, Plan(o)) {
		t.Error("the same options gave different plans")
	}
	if n := float64(len(plan)); n < 5600 || n > 6400 {
		t.Errorf("%v arrivals, want about 6000", n)
	}
	large, writes, variance := 0, 0, 0.0
	for i, a := range plan {
		if a.Organisation == "large" {
			large++
		}
		if a.Kind == Write {
			writes++
		}
		if i > 0 {
			gap := (a.At - plan[i-1].At).Seconds() * o.Rate
			variance += (gap - 1) * (gap - 1) / float64(len(plan))
		}
	}
	if p := fraction(large, len(plan)); p < 0.72 || p > 0.78 {
		t.Errorf("fraction of the large organisation is %.3f, want 0.75", p)
	}
	if p := fraction(writes, len(plan)); p < 0.22 || p > 0.28 {
		t.Errorf("fraction of writes is %.3f, want 0.25", p)
	}
	if variance < 0.85 || variance > 1.15 {
		t.Errorf("variance of the inter-arrival times is %.3f of the squared mean, want 1 as for Poisson arrivals", variance)
	}
	o.Seed = 2
	if reflect.DeepEqual(plan, Plan(o)) {
		t.Error("different seeds gave the same plan")
	}
	o.Shape = Day
	early, peak := 0, 0
	for _, a := range Plan(o) {
		if a.At < o.Duration/20 {
			early++
		}
		if a.At >= o.Duration*33/100 && a.At < o.Duration*38/100 {
			peak++
		}
	}
	if early*3 > peak {
		t.Errorf("%d arrivals in the first 5%% of the day and %d in 5%% around its peak, want a third or less", early, peak)
	}
}

// TestRunRejectsInvalidOptions checks that an address outside of loopback, which would send load to
// another host, is rejected before anything is sent, as are other invalid options.
func TestRunRejectsInvalidOptions(t *testing.T) {
	for _, address := range []string{"192.0.2.1:80", "example.org:80", "localhost:80", "127.0.0.1", "[2001:db8::1]:80", ""} {
		o := options()
		o.Entries = []string{"127.0.0.1:1", address}
		if _, err := Run(t.Context(), o); !problem.Is(err, problem.BadSettings) {
			t.Errorf("address %q: error %v, want bad-settings", address, err)
		}
	}
	for _, change := range []func(*Options){
		func(o *Options) { o.Rate = MaxRate + 1 }, func(o *Options) { o.Duration = MaxDuration + 1 },
		func(o *Options) { o.ModelRoute, o.ServiceRoute = "", "" }, func(o *Options) { o.Shape = "x" },
	} {
		o := options()
		change(&o)
		if err := o.Validate(); !problem.Is(err, problem.BadSettings) {
			t.Errorf("%+v: error %v, want bad-settings", o, err)
		}
	}
}

// TestResponsesAreClassified sends a cycle of responses: complete, of another request, truncated,
// and refused. Each must be counted as what it is. Latencies must count from the planned arrival;
// otherwise a stall of the system would appear in one request only.
func TestResponsesAreClassified(t *testing.T) {
	n := 0
	mutex := make(chan struct{}, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var request engine.ChatRequest
		_ = json.NewDecoder(r.Body).Decode(&request)
		mutex <- struct{}{}
		n++
		variant := n % 4
		<-mutex
		if variant == 0 {
			problem.Write(w, problem.New(problem.Overloaded, "retry later", "the queue is full").WithOutcome(problem.NotRun).WithRetryAfter(time.Second))
			return
		}
		if variant == 1 {
			request.Messages = nil // the response to a different request
		}
		text := standin.FullAnswer(request)
		for part := range strings.SplitAfterSeq(text, " ") {
			data, _ := json.Marshal(engine.ChatAnswer{Choices: []engine.Choice{{Delta: &engine.Message{Content: part}}}})
			fmt.Fprintf(w, "data: %s\n\n", data)
		}
		if variant != 2 {
			fmt.Fprintf(w, "%s\n\n", engine.DoneMarker)
		}
	}))
	defer server.Close()
	o := options()
	o.Entries = []string{strings.TrimPrefix(server.URL, "http://")}
	o.ServiceRoute, o.Duration = "", 400*time.Millisecond
	plan := Plan(o)
	for i := range plan {
		plan[i].Kind = ModelStream
	}
	r := &runner{options: o, client: newClient(), recorder: newRecorder()}
	planned := time.Now().Add(-2 * time.Second)
	for _, a := range plan {
		r.send(t.Context(), a, planned)
	}
	got := r.recorder.result(o, time.Second)
	total := len(plan)
	want := Counts{Sent: total, Completed: (total + 1) / 4, Wrong: (total + 3) / 4, Refused: total / 4, RetryAfter: total / 4, Failed: (total + 2) / 4}
	if got.Counts != want {
		t.Errorf("got %+v\nwant %+v", got.Counts, want)
	}
	if got.CompleteAnswer.P50 < 2000 || got.FirstToken.P50 < 2000 {
		t.Errorf("median latencies %v and %v ms, want at least 2000 for responses 2 s after their planned arrival", got.CompleteAnswer.P50, got.FirstToken.P50)
	}
	if got.Kinds["overloaded not-run"] != total/4 {
		t.Errorf("kinds %v, want overloaded not-run for a quarter of the requests", got.Kinds)
	}
}

func TestCompareReturnsFiguresAndFactors(t *testing.T) {
	a := &Result{Counts: Counts{Sent: 100, Completed: 100}, FirstToken: Latencies{P95: 50}}
	b := &Result{Counts: Counts{Sent: 100, Completed: 80, Refused: 20}, FirstToken: Latencies{P95: 100}}
	figures := make(map[string]Change)
	for _, c := range Compare(a, b) {
		figures[c.Name] = c
	}
	if c := figures["first token p95 ms"]; c.Factor != 2 {
		t.Errorf("%+v, want factor 2", c)
	}
	if c := figures["whole part of sent"]; c.A != 1 || c.B != 0.8 {
		t.Errorf("%+v, want A 1 and B 0.8", c)
	}
}
