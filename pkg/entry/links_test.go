package entry

import (
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/fescuehub/fescuehub/pkg/ident"
	"github.com/fescuehub/fescuehub/pkg/peer/agentlink"
	"github.com/fescuehub/fescuehub/pkg/peer/instancelist"
	"github.com/fescuehub/fescuehub/pkg/rpc"
)

// TestStatusBeforeTheHelloReplyIsKept guards against a lost status: the agent sends a status as soon as it
// changes, which may arrive while the reply to the hello, with an older status, is still processed. The
// agent sends it only once, so the entry would never learn which rank the agent serves.
func TestStatusBeforeTheHelloReplyIsKept(t *testing.T) {
	rs := newReplicas(zap.NewNop(), "entry-1", ident.NewIncarnation("entry-1"), nil, tally.NoopScope, func(int64) {})
	l := &link{instance: instancelist.Instance{Name: "agent-1", Pool: "pool"}, cancel: func() {}}
	r := &replica{instance: l.instance, link: l}
	rs.byName["agent-1"] = r
	older := agentlink.Status{Name: "agent-1", Pool: "pool", BackendUp: true}
	newer := older
	newer.GroupRank = agentlink.GroupRank{Group: "group", Rank: 2, Ranks: 4}
	rs.storeStatus(r, l, newer)
	rs.storeHeartbeat(r, l, agentlink.Heartbeat{Running: 3})
	if !rs.linkOpened(r, l, &rpc.Conn{}, older, time.Millisecond) {
		t.Fatal("the link was not opened")
	}
	if got := rs.groups()[groupKey{"pool", "group"}]; got != 4 {
		t.Errorf("the group has %d ranks, want 4: the status that arrived first was lost", got)
	}
}
