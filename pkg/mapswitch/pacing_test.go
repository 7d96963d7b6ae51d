package mapswitch_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fescuehub/fescuehub/pkg/mapswitch"
	"github.com/fescuehub/fescuehub/pkg/rankcontrol"
)

// unreachableRank fails every order at once, as a rank does whose agent cannot be reached and whose engine
// does not check fences.
type unreachableRank struct {
	rankcontrol.Rank
	attempts atomic.Int64
}

func (r *unreachableRank) Order(context.Context, rankcontrol.Order) (rankcontrol.Verdict, error) {
	r.attempts.Add(1)
	return "", errors.New("unreachable")
}

// TestOrdersToAnUnreachableRankArePaced guards the planner's processor and its fences, of which a generation
// has 16 million, against orders that are repeated without a pause while a rank refuses connections.
func TestOrdersToAnUnreachableRankArePaced(t *testing.T) {
	rank := &unreachableRank{}
	g := &mapswitch.Group{Ranks: []rankcontrol.Rank{rank}, Fences: mapswitch.NewFenceCounter(0, 1)}
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	m := rankcontrol.Map{{{0}}}
	if err := g.Prepare(ctx, 1, m, 0, m); err == nil {
		t.Error("the order is answered by an unreachable rank")
	}
	if n := rank.attempts.Load(); n < 2 || n > 200 {
		t.Errorf("%d attempts in 200 ms, want at least 2 and at most one each millisecond", n)
	}
}
