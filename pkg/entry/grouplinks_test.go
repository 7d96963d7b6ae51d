package entry

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/fescuehub/fescuehub/pkg/peer/agentlink"
	"github.com/fescuehub/fescuehub/pkg/peer/engine"
	"github.com/fescuehub/fescuehub/pkg/peer/instancelist"
	"github.com/fescuehub/fescuehub/pkg/rpc"
)

// unlinked implements entryLinks for an entry without links.
type unlinked struct{}

func (unlinked) agentForRank(groupKey, int) string { return "" }
func (unlinked) conn(string) (*rpc.Conn, bool)     { return nil, false }

// Guards the connection of a planner to agents that its entry is not linked to: both agents of
// the group must be found in an instance list that also holds an agent of another group.
func TestGroupLinksFindUnlinkedAgents(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	var list []instancelist.Instance
	for _, state := range []engine.RankState{{Group: "b", Rank: 1}, {Group: "a", Rank: 0}, {Group: "a", Rank: 1}} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		server := rpc.NewServer(l, tally.NoopScope, rpc.Methods{
			agentlink.MethodRankState: rpc.Typed(func(context.Context, *rpc.Conn, struct{}) (any, error) { return state, nil }),
		})
		go func() { _ = server.Run(ctx) }()
		list = append(list, instancelist.Instance{Name: l.Addr().String(), Pool: "p", ControlAddress: l.Addr().String()})
	}
	g := newGroupLinks(unlinked{}, func() []instancelist.Instance { return list }, groupKey{"p", "a"})
	defer g.close()
	for rank := range 2 {
		var state engine.RankState
		for g.Call(ctx, rank, agentlink.MethodRankState, struct{}{}, &state) != nil {
			if ctx.Err() != nil {
				t.Fatalf("rank %d was not found", rank)
			}
			time.Sleep(time.Millisecond)
		}
		if state.Group != "a" || state.Rank != rank {
			t.Fatalf("rank %d is answered by %+v", rank, state)
		}
	}
}
