package expertmap_test

import (
	"fmt"
	"slices"

	"github.com/fescuehub/fescuehub/pkg/expertmap"
	"github.com/fescuehub/fescuehub/pkg/faultmatrix"
	"github.com/fescuehub/fescuehub/pkg/ident"
)

// rankNode is one rank of the group.
type rankNode struct {
	f           *facts
	rank        int
	incarnation ident.Incarnation
	gate        *expertmap.Gate
}

func (n *rankNode) Handle(ctx *faultmatrix.Context, from string, m faultmatrix.Message) {
	switch m := m.(type) {
	case begin, faultmatrix.Restarted, resendDue:
		if !n.f.over() {
			n.act(ctx, n.gate.ResendReport())
			n.announce(ctx)
			ctx.After(resendPause+n.f.pause()/2, resendDue{})
		}
	case expertmap.Report:
		n.act(ctx, n.gate.Receive(m))
	case stepEnd:
		if !n.f.over() {
			n.act(ctx, n.gate.FinishStep())
		}
	case installRequest:
		if m.incarnation == n.incarnation {
			n.gate.Install(m.version)
			n.announce(ctx)
		}
	}
}

func (n *rankNode) announce(ctx *faultmatrix.Context) {
	ctx.Send(agentName(n.rank), rankReport{n.incarnation, n.gate.Loaded()})
}

func (n *rankNode) act(ctx *faultmatrix.Context, a expertmap.Actions) {
	if a.Send != nil {
		for i := range matrixRanks {
			if i != n.rank {
				ctx.Send(rankName(i), *a.Send)
			}
		}
	}
	if a.Enter != nil {
		n.f.entered(n.rank, *a.Enter)
		ctx.After(n.f.pause(), stepEnd{})
		if n.rank == 2 && !n.f.killed && n.f.published == publications && a.Enter.Version != n.f.newest {
			n.f.killed = true
			ctx.Send("conductor", killRank{})
		}
	}
}

// agentNode loads weights and passes orders on to its rank, which does not check fencing numbers.
type agentNode struct {
	f           *facts
	rank        int
	fence       *expertmap.Fence
	incarnation ident.Incarnation
	loaded      []expertmap.Version
	ordered     *expertmap.Version
	lastFencing int64
}

func (n *agentNode) Handle(ctx *faultmatrix.Context, from string, m faultmatrix.Message) {
	switch m := m.(type) {
	case statusRequest:
		if n.incarnation != "" {
			ctx.Send(from, statusResponse{n.loaded})
		}
	case rankReport:
		n.handleRankReport(ctx, m)
	case targetOrder:
		if n.fence.Admit(m.fencing) != nil {
			return
		}
		if m.fencing < n.lastFencing {
			n.f.violations = append(n.f.violations, fmt.Sprintf("agent %d passed an order of lease %d on after one of lease %d", n.rank, m.fencing, n.lastFencing))
		}
		n.lastFencing = m.fencing
		n.f.publish(m.version)
		n.ordered = &m.version
		ctx.Send("store", fetchRequest{m.version})
	case fetchResponse:
		if m.ok && n.ordered != nil && m.version == *n.ordered {
			ctx.Send(rankName(n.rank), installRequest{n.incarnation, m.version})
		}
	}
}

// handleRankReport records the state of the rank. A rank that has restarted is sent the map that
// was ordered last again.
func (n *agentNode) handleRankReport(ctx *faultmatrix.Context, m rankReport) {
	restarted := n.incarnation != "" && n.incarnation != m.incarnation
	n.incarnation = m.incarnation
	n.loaded = m.loaded
	n.fence.ObserveLoaded(m.loaded)
	if restarted && n.ordered != nil {
		ctx.Send("store", fetchRequest{*n.ordered})
	}
}

type plannerNode struct {
	f         *facts
	lease     *expertmap.Lease
	publisher *expertmap.Publisher
}

func (n *plannerNode) Handle(ctx *faultmatrix.Context, from string, m faultmatrix.Message) {
	switch m := m.(type) {
	case begin, faultmatrix.Restarted, poll:
		if !n.f.over() {
			ctx.Send("log", readRequest{n.lease.NextOffset()})
			ctx.After(n.f.pause(), poll{})
		}
	case readResponse:
		n.lease.Observe(ctx.Now, m.entries)
		if r, ok := n.lease.DueRecord(ctx.Now); ok {
			ctx.Send("log", appendRequest{r})
		}
		n.requestStatus(ctx)
	case statusResponse:
		n.handleStatus(ctx, from, m)
	}
}

// requestStatus asks every agent for its status while the planner holds the lease.
func (n *plannerNode) requestStatus(ctx *faultmatrix.Context) {
	fencing, held := n.lease.Held()
	if !held {
		return
	}
	if n.publisher == nil || n.publisher.Fencing() != fencing {
		n.publisher = expertmap.NewPublisher(matrixRanks, fencing)
	}
	for i := range matrixRanks {
		ctx.Send(agentName(i), statusRequest{})
	}
	if n.f.published == 2 && !n.f.frozen && !n.publisher.Converged() {
		n.f.frozen = true
		ctx.Send("conductor", freezePlanner{})
	}
}

// handleStatus sends the target to a rank that has not loaded it, and publishes a new map once all
// ranks have loaded the last one.
func (n *plannerNode) handleStatus(ctx *faultmatrix.Context, from string, m statusResponse) {
	rank := slices.Index(agentNames[:], from)
	n.publisher.Observe(rank, m.loaded)
	behind := n.publisher.RanksBehind()
	if n.publisher.Converged() && n.f.published < publications {
		if v, ok := n.publisher.NextVersion(); ok {
			n.f.recordVersion(v)
		}
		behind = n.publisher.RanksBehind()
	} else if !slices.Contains(behind, rank) {
		return
	} else {
		behind = []int{rank}
	}
	for _, i := range behind {
		ctx.Send(agentName(i), targetOrder{n.publisher.Fencing(), n.publisher.Target()})
	}
}

// logNode models the platform's log.
type logNode struct {
	f       *facts
	entries *[]expertmap.LeaseEntry
}

func (n logNode) Handle(ctx *faultmatrix.Context, from string, m faultmatrix.Message) {
	if n.f.w.Elapsed() < n.f.logUntil {
		return
	}
	switch m := m.(type) {
	case readRequest:
		ctx.Send(from, readResponse{slices.Clone((*n.entries)[m.from:])})
	case appendRequest:
		if n.f.logDelay > 0 {
			ctx.After(n.f.logDelay, m)
			n.f.logDelay = 0
			return
		}
		*n.entries = append(*n.entries, expertmap.LeaseEntry{Offset: int64(len(*n.entries)), Record: m.record})
	}
}

// storeNode fails one load of the second map by agent 1, and delays the first load of the last map
// by agent 2.
type storeNode struct {
	f      *facts
	failed *bool
	slow   *bool
}

type delayedResponse struct {
	to       string
	response fetchResponse
}

func (n storeNode) Handle(ctx *faultmatrix.Context, from string, m faultmatrix.Message) {
	switch m := m.(type) {
	case fetchRequest:
		ok := from != agentName(1) || *n.failed || n.f.published != 2
		*n.failed = *n.failed || !ok
		if from == agentName(2) && n.f.published == publications && !*n.slow {
			*n.slow = true
			ctx.After(slowLoad, delayedResponse{from, fetchResponse{m.version, ok}})
			return
		}
		ctx.Send(from, fetchResponse{m.version, ok})
	case delayedResponse:
		ctx.Send(m.to, m.response)
	}
}
