package faultmatrix_test

import (
	"testing"
	"time"

	"github.com/fescuehub/fescuehub/pkg/faultmatrix"
)

// The messages of a protocol with two nodes, in which the client repeats ask until it receives an
// answer.
type (
	begin  struct{}
	retry  struct{}
	ask    struct{}
	answer struct{}
)

type client struct{ answered *int }

func (c *client) Handle(ctx *faultmatrix.Context, _ string, m faultmatrix.Message) {
	switch m.(type) {
	case begin, retry, faultmatrix.Restarted:
		if *c.answered == 0 {
			ctx.Send("server", ask{})
			ctx.After(time.Minute, retry{})
		}
	case answer:
		*c.answered++
	}
}

type server struct{ asked *int }

func (s *server) Handle(ctx *faultmatrix.Context, from string, m faultmatrix.Message) {
	if _, ok := m.(ask); !ok {
		return
	}
	*s.asked++
	ctx.Send(from, answer{})
}

// scenario returns the protocol with the properties that the client receives an answer and that the
// server receives at most limit requests.
func scenario(limit int) faultmatrix.Scenario {
	type counts struct{ answered, asked int }
	return faultmatrix.Scenario{
		Protocol: "ping",
		Build: func(w *faultmatrix.World) {
			c := &counts{}
			w.ScenarioState = c
			w.Add("client", func(int) faultmatrix.Node { return &client{&c.answered} })
			w.Add("server", func(int) faultmatrix.Node { return &server{&c.asked} })
			w.Start("client", 0, begin{})
		},
		Check: func(w *faultmatrix.World) []string {
			c := w.ScenarioState.(*counts)
			var out []string
			if c.answered == 0 {
				out = append(out, "the client received no answer")
			}
			if c.asked > limit {
				out = append(out, "the server was asked too often")
			}
			return out
		},
	}
}

func TestRunFindsNoViolationInRetryingProtocol(t *testing.T) {
	report, err := faultmatrix.Run(scenario(1000), faultmatrix.Options{Seeds: []uint64{1, 2}, Pairs: 20})
	if err != nil {
		t.Fatal(err)
	}
	if len(report.Failed) > 0 {
		t.Fatalf("violations %v in cell %s", report.Failed[0].Violations, report.Failed[0].Replay())
	}
	if report.Runs < 2*len(faultmatrix.AllFaults) {
		t.Fatalf("only %d runs, want at least two per fault", report.Runs)
	}
}

// TestRunReportsViolation checks that faults are injected: with a limit of one request, which the
// retry after a lost reply exceeds, a violation must be reported. If its fault is at step 1, a replay
// of the cell must find a violation again.
func TestRunReportsViolation(t *testing.T) {
	s := scenario(1)
	report, err := faultmatrix.Run(s, faultmatrix.Options{Seeds: []uint64{1}})
	if err != nil {
		t.Fatal(err)
	}
	if len(report.Failed) == 0 {
		t.Fatal("no violation was reported, although a lost reply causes a second request")
	}
	cell := report.Failed[0]
	again, _, err := faultmatrix.Replay(s, cell.Seed, string(cell.Injections[0].Fault)+"@1")
	if err != nil {
		t.Fatal(err)
	}
	if len(again.Violations) == 0 && cell.Injections[0].Step == 1 {
		t.Fatalf("replay of %s found no violation", cell.Replay())
	}
}
