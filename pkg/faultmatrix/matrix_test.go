package faultmatrix_test

import (
	"testing"
	"time"

	"github.com/fescuehub/fescuehub/pkg/faultmatrix"
)

// ping is a protocol of two nodes: the client sends until it is answered.
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

func scenario(limit int) faultmatrix.Scenario {
	type facts struct{ answered, asked int }
	return faultmatrix.Scenario{
		Protocol: "ping",
		Build: func(w *faultmatrix.World) {
			f := &facts{}
			w.ScenarioState = f
			w.Add("client", func(int) faultmatrix.Node { return &client{&f.answered} })
			w.Add("server", func(int) faultmatrix.Node { return &server{&f.asked} })
			w.Start("client", 0, begin{})
		},
		Check: func(w *faultmatrix.World) []string {
			f := w.ScenarioState.(*facts)
			var out []string
			if f.answered == 0 {
				out = append(out, "never answered")
			}
			if f.asked > limit {
				out = append(out, "asked too often")
			}
			return out
		},
	}
}

func TestEveryFaultAtEveryStepIsAnswered(t *testing.T) {
	report, err := faultmatrix.Run(scenario(1000), faultmatrix.Options{Seeds: []uint64{1, 2}, Pairs: 20})
	if err != nil {
		t.Fatal(err)
	}
	if len(report.Failed) > 0 {
		t.Fatalf("cell fails: %v %s", report.Failed[0].Violations, report.Failed[0].Replay())
	}
	if report.Runs < 2*len(faultmatrix.AllFaults) {
		t.Fatalf("only %d runs", report.Runs)
	}
}

// TestDriverFindsADoubleRun shows that the faults reach the protocol: a bound
// that a lost reply must break is reported, and its cell replays.
func TestDriverFindsADoubleRun(t *testing.T) {
	s := scenario(1)
	report, err := faultmatrix.Run(s, faultmatrix.Options{Seeds: []uint64{1}})
	if err != nil {
		t.Fatal(err)
	}
	if len(report.Failed) == 0 {
		t.Fatal("the driver found no double run")
	}
	cell := report.Failed[0]
	again, _, err := faultmatrix.Replay(s, cell.Seed, string(cell.Injections[0].Fault)+"@1")
	if err != nil {
		t.Fatal(err)
	}
	if len(again.Violations) == 0 && cell.Injections[0].Step == 1 {
		t.Fatalf("%s did not replay", cell.Replay())
	}
}
