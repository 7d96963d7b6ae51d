package gateway

import (
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/fescuehub/fescuehub/pkg/evacuation"
	"github.com/fescuehub/fescuehub/pkg/fleet"
	"github.com/fescuehub/fescuehub/pkg/gossip"
	"github.com/fescuehub/fescuehub/pkg/settings"
	"github.com/fescuehub/fescuehub/pkg/sharedlog"
	"github.com/fescuehub/fescuehub/pkg/telemetry"
)

func newTestGateway() *Gateway {
	return New(settings.Instance{Name: "a", Bounds: settings.Bounds{RetryWindow: 10 * time.Second}}, nil, nil, zap.NewNop(), telemetry.NewMetrics())
}

// TestEntryIsReadyAfterWholeOperatorsTopic guards against an entry that accepts callers once it has the configuration,
// which stands before the evacuations in the topic.
func TestEntryIsReadyAfterWholeOperatorsTopic(t *testing.T) {
	g := newTestGateway()
	g.serversRead = true
	sink := (*operatorsSink)(g)
	sink.BeginSnapshot(sharedlog.Position{Timeline: 1, Next: 5})
	g.table.Store(fleet.NewTable(fleet.Configuration{Version: 1}))
	g.updateReady()
	if g.ready() || g.tableInForce() != nil {
		t.Error("ready before the whole topic has been read")
	}
	sink.EndSnapshot()
	if !g.ready() || g.tableInForce() == nil {
		t.Error("not ready after the whole topic has been read")
	}
}

// TestEvacuationLeavesOtherUsesOfServers guards against an evacuation that hides engines from the planner's
// subscription, which needs the hosts of all ranks, that forgets the load in flight, or that blames requests for
// servers which end with their domain.
func TestEvacuationLeavesOtherUsesOfServers(t *testing.T) {
	g := newTestGateway()
	for _, s := range []fleet.Server{
		{ID: "i-1", Service: "m", Address: "127.0.0.1:1", Zone: "a", Incarnation: 1}, {ID: "i-2", Service: "m", Address: "127.0.0.1:2", Zone: "b", Incarnation: 1},
	} {
		g.roster.Announce(s)
	}
	g.refreshServers(time.Now())
	g.balancer.Begin(time.Now(), "i-2", 10)
	report := []evacuation.Report{{Domain: "b", Evacuated: true, Timeline: 1, Next: 3}}
	for range 2 {
		(*sharedEvacuations)(g).merge(time.Now(), &gossip.EntryState{Name: "front-2", Evacuations: report})
	}
	g.refreshServers(time.Now())
	if len(g.servers) != 2 || g.balancer.ServerCount("m") != 1 || g.balancer.OwnLoads()["i-2"].Requests != 1 {
		t.Errorf("%d servers known, %d used, load in flight %v; want 2, 1 and one request", len(g.servers), g.balancer.ServerCount("m"), g.balancer.OwnLoads())
	}
	service := &fleet.Service{Name: "m"}
	for range 20 {
		if s, ok := g.balancer.Choose(time.Now(), service, nil, func() float64 { return 0.5 }); !ok || s.ID != "i-1" {
			t.Fatalf("chose %q, want i-1 of the domain in service", s.ID)
		}
	}
	if list := g.Evacuations(); len(list) != 1 || !list[0].Evacuated || list[0].LearnedFrom != "front-2" || list[0].Servers != 1 || !list[0].Known {
		t.Errorf("the list for operators is %+v", list)
	}
	(*sharedEvacuations)(g).merge(time.Now(), &gossip.EntryState{Name: "front-2", Evacuations: []evacuation.Report{{Domain: "b", Timeline: 1, Next: 4}}})
	if g.balancer.ServerCount("m") != 2 || g.balancer.OwnLoads()["i-2"].Requests != 1 {
		t.Error("the domain has not returned, or its load in flight was forgotten")
	}
}

// TestEvacuationAddsNothingToMessages guards against bytes between entries where no domain has been evacuated, and
// against an entry that needs the state from those of a build without it.
func TestEvacuationAddsNothingToMessages(t *testing.T) {
	g := newTestGateway()
	state := &gossip.EntryState{Name: "a"}
	bare, err := gossip.Encode(gossip.Message{Entry: state})
	if err != nil {
		t.Fatal(err)
	}
	(*sharedEvacuations)(g).collect(time.Now(), state)
	with, err := gossip.Encode(gossip.Message{Entry: state})
	if err != nil || len(with) != len(bare) {
		t.Errorf("%d bytes without evacuations, %d before: %v", len(with), len(bare), err)
	}
	(*sharedEvacuations)(g).merge(time.Now(), &gossip.EntryState{Name: "b"})
	if len(g.Evacuations()) > 0 {
		t.Error("a message of a build without evacuations changed something")
	}
}

// TestRequestsDoNotWaitForSharedState guards against requests that wait while a message or a read of the log is being
// applied, which holds the gateway's mutex.
func TestRequestsDoNotWaitForSharedState(t *testing.T) {
	g := newTestGateway()
	g.table.Store(fleet.NewTable(fleet.Configuration{Version: 1}))
	(*operatorsSink)(g).EndSnapshot()
	g.mu.Lock()
	defer g.mu.Unlock()
	done := make(chan *fleet.Table, 1)
	go func() { done <- g.tableInForce() }()
	select {
	case table := <-done:
		if table == nil {
			t.Error("no configuration is in force after the whole topic has been read")
		}
	case <-time.After(5 * time.Second):
		t.Error("the configuration of a request waits for the gateway's mutex")
	}
}

// TestServersDoNotHideWarningsOfEvacuations guards against an operator who is not told of a wrong name, because
// servers have stated many different values that cannot be parsed.
func TestServersDoNotHideWarningsOfEvacuations(t *testing.T) {
	core, logs := observer.New(zap.WarnLevel)
	g := New(settings.Instance{Name: "a", FailureDomains: []string{"b"}}, nil, nil, zap.New(core), telemetry.NewMetrics())
	for n := range 2 * maxLoggedValues {
		g.RetryAfterIgnored("i-1", fmt.Sprint("soon ", n))
	}
	(*serversSink)(g).EndSnapshot()
	g.mu.Lock()
	g.applyEvacuationChanges(g.evacuations.Apply(evacuation.Record{Domain: "typo", Evacuated: true, Offset: 1}))
	g.mu.Unlock()
	if n := logs.FilterField(zap.String("domain", "typo")).FilterLevelExact(zap.WarnLevel).Len(); n != 1 {
		t.Errorf("%d warnings of the unknown domain, want 1", n)
	}
}
