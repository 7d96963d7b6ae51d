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
	case begin, faultmatrix.Restarted, repeat:
		if !n.f.over() {
			n.act(ctx, n.gate.ResendReport())
			n.announce(ctx)
			ctx.After(repeatPause+n.f.pause()/2, repeat{})
		}
	case expertmap.Report:
		n.act(ctx, n.gate.Receive(m))
	case stepEnds:
		if !n.f.over() {
			n.act(ctx, n.gate.FinishStep())
		}
	case install:
		if m.incarnation == n.incarnation {
			n.gate.Install(m.v)
			n.announce(ctx)
		}
	}
}

func (n *rankNode) announce(ctx *faultmatrix.Context) {
	ctx.Send(agentName(n.rank), state{n.incarnation, n.gate.Loaded()})
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
		ctx.After(n.f.pause(), stepEnds{})
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
	passed      int64
}

func (n *agentNode) Handle(ctx *faultmatrix.Context, from string, m faultmatrix.Message) {
	switch m := m.(type) {
	case askStatus:
		if n.incarnation != "" {
			ctx.Send(from, status{n.loaded})
		}
	case state:
		n.observe(ctx, m)
	case order:
		if n.fence.Admit(m.fencing) != nil {
			return
		}
		if m.fencing < n.passed {
			n.f.violations = append(n.f.violations, fmt.Sprintf("agent %d passed an order of lease %d on after one of lease %d", n.rank, m.fencing, n.passed))
		}
		n.passed = m.fencing
		n.f.publish(m.v)
		n.ordered = &m.v
		ctx.Send("store", fetch{m.v})
	case fetched:
		if m.ok && n.ordered != nil && m.v == *n.ordered {
			ctx.Send(rankName(n.rank), install{n.incarnation, m.v})
		}
	}
}

// observe records the state of the rank. A rank that has restarted is sent the map that was ordered
// last again.
func (n *agentNode) observe(ctx *faultmatrix.Context, m state) {
	restarted := n.incarnation != "" && n.incarnation != m.incarnation
	n.incarnation = m.incarnation
	n.loaded = m.loaded
	n.fence.ObserveLoaded(m.loaded)
	if restarted && n.ordered != nil {
		ctx.Send("store", fetch{*n.ordered})
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
			ctx.Send("log", readLog{n.lease.NextOffset()})
			ctx.After(n.f.pause(), poll{})
		}
	case logPage:
		n.lease.Observe(ctx.Now, m.entries)
		if r, ok := n.lease.DueRecord(ctx.Now); ok {
			ctx.Send("log", logWrite{r})
		}
		n.requestStatus(ctx)
	case status:
		n.observe(ctx, from, m)
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
		ctx.Send(agentName(i), askStatus{})
	}
	if n.f.published == 2 && !n.f.frozen && !n.publisher.Converged() {
		n.f.frozen = true
		ctx.Send("conductor", freezePlanner{})
	}
}

// observe sends the target to a rank that has not loaded it, and publishes a new map once all ranks
// have loaded the last one.
func (n *plannerNode) observe(ctx *faultmatrix.Context, from string, m status) {
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
		ctx.Send(agentName(i), order{n.publisher.Fencing(), n.publisher.Target()})
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
	case readLog:
		ctx.Send(from, logPage{slices.Clone((*n.entries)[m.from:])})
	case logWrite:
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

type delivery struct {
	to string
	m  fetched
}

func (n storeNode) Handle(ctx *faultmatrix.Context, from string, m faultmatrix.Message) {
	switch m := m.(type) {
	case fetch:
		ok := from != agentName(1) || *n.failed || n.f.published != 2
		*n.failed = *n.failed || !ok
		if from == agentName(2) && n.f.published == publications && !*n.slow {
			*n.slow = true
			ctx.After(slowLoad, delivery{from, fetched{m.v, ok}})
			return
		}
		ctx.Send(from, fetched{m.v, ok})
	case delivery:
		ctx.Send(m.to, m.m)
	}
}
