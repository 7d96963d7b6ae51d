package rankagent

import (
	"context"
	"sync"
	"testing"

	"github.com/fescuehub/fescuehub/pkg/fleet"
	"github.com/fescuehub/fescuehub/pkg/rankcontrol"
)

// engine records the fences of the orders that it carries out. It checks none of them.
type engine struct {
	rankcontrol.Rank
	mu     sync.Mutex
	fences []int64
}

func (e *engine) Order(_ context.Context, o rankcontrol.Order) (rankcontrol.Verdict, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fences = append(e.fences, o.Fence)
	return rankcontrol.Accepted, nil
}

func (e *engine) Report(context.Context) (fleet.EngineReport, error) {
	return fleet.EngineReport{}, nil
}

// TestAgentFencesOffEarlierPlanner guards against two planners that both act around a hand-over, at an
// engine that does not check who gives it an order: once the agent has passed on an order of the new
// planner, it refuses those of the old one, also if they arrive at the same time.
func TestAgentFencesOffEarlierPlanner(t *testing.T) {
	e := &engine{}
	a := &Agent{local: e}
	var orders sync.WaitGroup
	for fence := range int64(200) {
		orders.Go(func() {
			order := rankcontrol.Order{Operation: rankcontrol.Arm, Fence: fence}
			if verdict, err := a.execute(context.Background(), order); err != nil || verdict != rankcontrol.Accepted && verdict != rankcontrol.Fenced {
				t.Errorf("fence %d: %q, %v", fence, verdict, err)
			}
		})
	}
	orders.Wait()
	for i := 1; i < len(e.fences); i++ {
		if e.fences[i] < e.fences[i-1] {
			t.Errorf("the engine carried out fence %d after fence %d", e.fences[i], e.fences[i-1])
		}
	}
	if verdict, err := a.execute(context.Background(), rankcontrol.Order{Operation: rankcontrol.Hold, Fence: 1}); err != nil || verdict != rankcontrol.Fenced {
		t.Errorf("an order of the earlier planner: %q, %v; want fenced", verdict, err)
	}
}

// TestOrdersDoNotBypassTheAgent checks that an engine that does not check fences gets no order while
// its agent, which does, cannot be reached.
func TestOrdersDoNotBypassTheAgent(t *testing.T) {
	for _, c := range []struct {
		fencedByAgent bool
		want          int
	}{{true, 0}, {false, 1}} {
		e := &engine{}
		r := &remoteRank{ctx: context.Background(), agent: "127.0.0.1:1", direct: e, fencedByAgent: c.fencedByAgent, timeout: agentTimeout}
		_, err := r.Order(context.Background(), rankcontrol.Order{Operation: rankcontrol.Hold, Fence: 1})
		if (err != nil) != c.fencedByAgent || len(e.fences) != c.want {
			t.Errorf("fenced by the agent %v: %v, %d orders at the engine, want %d", c.fencedByAgent, err, len(e.fences), c.want)
		}
	}
}
