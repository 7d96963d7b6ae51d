package rankagent

import (
	"context"
	"encoding/json"
	"reflect"
	"sync"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/fescuehub/fescuehub/pkg/evenplan"
	"github.com/fescuehub/fescuehub/pkg/fleet"
	"github.com/fescuehub/fescuehub/pkg/netconn"
	"github.com/fescuehub/fescuehub/pkg/rankcontrol"
	"github.com/fescuehub/fescuehub/pkg/rpc"
)

// TestFirstMapIsRebuiltFromItsChanges guards the first map of a large group that has just formed.
// While requests wait for it, it is sent to 63 ranks over one link of 8 Mbit/s. An agent must
// therefore be able to rebuild it from its changes to the initial map, which every agent can
// compute, and must refuse changes to a base that it does not know.
func TestFirstMapIsRebuiltFromItsChanges(t *testing.T) {
	formed := rankcontrol.Map(evenplan.Uniform(8, 252, 63))
	next := rankcontrol.Map(evenplan.Uniform(8, 252, 63))
	next[1][2], next[7][62] = []int{2, 65, 128}, []int{5, 62, 125, 188}
	shape := formed.Shape()
	order := rankcontrol.Order{Operation: rankcontrol.Prepare, Version: 9, Changes: formed.DeltaTo(next), Formation: &shape}
	a := &Agent{log: zap.NewNop(), maps: make(map[int64]rankcontrol.Map)}
	if got, ok := a.fullMap(order); !ok || !reflect.DeepEqual(got, next) {
		t.Fatalf("the map rebuilt from the changes differs: base known: %v", ok)
	}
	for name, invalid := range map[string]rankcontrol.Shape{"all zero": {}, "too large": {Sets: 1 << 20, Experts: 1 << 20, Ranks: 1}, "no ranks": {Sets: 1, Experts: 1}} {
		order.Formation = &invalid
		if _, ok := a.fullMap(order); ok {
			t.Errorf("%s: an invalid formation is accepted", name)
		}
	}
	order.Formation = nil
	if _, ok := a.fullMap(order); ok {
		t.Error("changes to an unknown map are accepted")
	}
}

// TestAgentOfAnotherReleaseGetsTheFullMap guards an upgrade: an agent that does not know the encoding of
// changes must be sent the full map, and must not prepare another one.
func TestAgentOfAnotherReleaseGetsTheFullMap(t *testing.T) {
	present, next := rankcontrol.Map(evenplan.Uniform(2, 6, 3)), rankcontrol.Map(evenplan.Uniform(2, 6, 3))
	next[0][0] = []int{0, 3, 5}
	// earlierOrder has the form of an order in earlier releases, whose changes are bytes.
	type earlierOrder struct {
		Map     rankcontrol.Map `json:"map"`
		Changes []byte          `json:"changes"`
	}
	var received []rankcontrol.Map
	agent := &Agent{log: zap.NewNop(), maps: make(map[int64]rankcontrol.Map)}
	for name, method := range map[string]rpc.Method{
		"earlier release": rpc.Typed(func(_ context.Context, _ *rpc.Conn, o earlierOrder) (any, error) {
			received = append(received, o.Map)
			return orderReply{rankcontrol.Accepted}, nil
		}),
		"this release without the base": rpc.Typed(func(_ context.Context, _ *rpc.Conn, o rankcontrol.Order) (any, error) {
			full, ok := agent.fullMap(o)
			if !ok {
				return orderReply{rankcontrol.UnknownBase}, nil
			}
			received = append(received, full)
			return orderReply{rankcontrol.Accepted}, nil
		}),
	} {
		received = nil
		ctx, cancel := context.WithCancel(t.Context())
		listener, err := netconn.Listen(ctx, "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		var server sync.WaitGroup
		server.Go(func() {
			if err := rpc.NewServer(listener, tally.NoopScope, rpc.Methods{methodOrder: method}).Run(ctx); err != nil {
				t.Error(err)
			}
		})
		r := &remoteRank{ctx: ctx, agent: listener.Addr().String(), timeout: time.Second, fencedByAgent: true}
		verdict, err := r.Order(ctx, rankcontrol.Order{Operation: rankcontrol.Prepare, Version: 9, Map: next, Base: 4, Changes: present.DeltaTo(next)})
		r.close()
		cancel()
		server.Wait()
		if err != nil || verdict != rankcontrol.Accepted || len(received) != 1 || !reflect.DeepEqual(received[0], next) {
			t.Errorf("%s: verdict %q, error %v, maps %v; want %v", name, verdict, err, received, next)
		}
	}
	// An earlier planner sends rows as bytes. It sends the full map after the verdict UnknownBase only.
	var o rankcontrol.Order
	if err := json.Unmarshal([]byte(`{"operation":"prepare","version":9,"base":4,"changes":"AQIBAQE="}`), &o); err != nil {
		t.Fatal(err)
	}
	agent.maps[4] = present
	if verdict, err := agent.execute(t.Context(), o); err != nil || verdict != rankcontrol.UnknownBase {
		t.Errorf("rows of an earlier release: verdict %q, error %v; want %q", verdict, err, rankcontrol.UnknownBase)
	}
}

// acceptingRank accepts every order and has prepared every map.
type acceptingRank struct{ rankcontrol.Rank }

func (acceptingRank) Order(context.Context, rankcontrol.Order) (rankcontrol.Verdict, error) {
	return rankcontrol.Accepted, nil
}

func (acceptingRank) Report(context.Context) (fleet.EngineReport, error) {
	return fleet.EngineReport{Prepared: 1 << 40}, nil
}

// TestLateOrderLeavesTheBase guards the present planner's changes against a late order of a replaced
// planner: if it removed their base, the next stage would need the full map.
func TestLateOrderLeavesTheBase(t *testing.T) {
	agent := &Agent{log: zap.NewNop(), maps: make(map[int64]rankcontrol.Map), local: acceptingRank{}}
	present, next := rankcontrol.Map(evenplan.Uniform(2, 6, 3)), rankcontrol.Map(evenplan.Uniform(2, 6, 3))
	next[0][0] = []int{0, 3, 5}
	for _, c := range []struct {
		name  string
		order rankcontrol.Order
		want  rankcontrol.Verdict
	}{
		{"map of the present planner", rankcontrol.Order{Version: 20, Map: present, Fence: 21}, rankcontrol.Accepted},
		{"late map of the replaced planner", rankcontrol.Order{Version: 9, Map: next, Fence: 10}, rankcontrol.Fenced},
		{"changes to the map of the present planner", rankcontrol.Order{Version: 22, Base: 20, Changes: present.DeltaTo(next), Fence: 23}, rankcontrol.Accepted},
	} {
		c.order.Operation = rankcontrol.Prepare
		if verdict, err := agent.execute(t.Context(), c.order); err != nil || verdict != c.want {
			t.Errorf("%s: verdict %q, error %v; want %q", c.name, verdict, err, c.want)
		}
	}
}
