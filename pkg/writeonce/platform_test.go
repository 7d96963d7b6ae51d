package writeonce_test

import (
	"encoding/json"
	"time"

	"github.com/fescuehub/fescuehub/pkg/faultmatrix"
	"github.com/fescuehub/fescuehub/pkg/problem"
	"github.com/fescuehub/fescuehub/pkg/writeonce"
)

// facts is the state of the simulated platform and what observers of the run recorded.
type facts struct {
	off   writeonce.DisabledChecks
	runs  map[string]int
	conns map[int]bool
	ops   []operation
	conn  int
	// records are the records of the log. A log restart clears them.
	records     []writeonce.Record
	downUntil   time.Time
	slowUntil   time.Time
	loseRecords bool
	// outagePlans, firstOps and lastOps are used by TestOutcomesDuringLogOutage.
	outagePlans       []*plan
	firstOps, lastOps map[string]int
}

// Inject applies the platform faults.
func (f *facts) Inject(w *faultmatrix.World, fault faultmatrix.Fault) bool {
	switch fault {
	case faultmatrix.LogDown:
		f.downUntil = w.Now().Add(outage)
	case faultmatrix.LogSlow:
		f.slowUntil = w.Now().Add(outage)
	default:
		return false
	}
	return true
}

func (f *facts) nextConn() int { f.conn++; return f.conn }

// firstOnConn reports whether the message is the first on its connection: a connection carries a
// request at most once.
func (f *facts) firstOnConn(conn int) bool {
	if f.conns[conn] {
		return false
	}
	f.conns[conn] = true
	return true
}

// logNode is the platform's log.
type logNode struct{ f *facts }

func (l *logNode) Handle(ctx *faultmatrix.Context, from string, m faultmatrix.Message) {
	down := ctx.Now.Before(l.f.downUntil)
	switch m := m.(type) {
	case appendRequest:
		if down {
			ctx.Send(from, appendResponse{ID: m.ID, Problem: problem.New(problem.LogUnavailable, "", "down").WithOutcome(problem.NotRun)})
			return
		}
		offset := int64(len(l.f.records))
		l.f.records = append(l.f.records, writeonce.Record{Offset: offset, Time: ctx.Now, Data: m.Data})
		l.answer(ctx, from, appendResponse{ID: m.ID, Offset: offset})
	case readRequest:
		if down {
			ctx.Send(from, readResponse{Problem: problem.New(problem.LogUnavailable, "", "down")})
			return
		}
		n := int64(len(l.f.records))
		l.answer(ctx, from, readResponse{Page: writeonce.Page{From: m.From, Next: n, Records: l.f.records[min(m.From, n):n:n]}})
	case faultmatrix.Restarted:
		if l.f.loseRecords {
			l.f.records = nil
		}
	case delayedResponse:
		ctx.Send(m.to, m.response)
	case longLogOutage:
		l.f.downUntil = ctx.Now.Add(m.d)
	}
}

// longLogOutage makes the log unavailable for d.
type longLogOutage struct{ d time.Duration }

type delayedResponse struct {
	to       string
	response faultmatrix.Message
}

func (l *logNode) answer(ctx *faultmatrix.Context, to string, m faultmatrix.Message) {
	if ctx.Now.Before(l.f.slowUntil) {
		ctx.After(2*appendWait, delayedResponse{to, m})
		return
	}
	ctx.Send(to, m)
}

// backendServerNode is a backend server that does not deduplicate and counts executions.
type backendServerNode struct{ f *facts }

func (s *backendServerNode) Handle(ctx *faultmatrix.Context, from string, m faultmatrix.Message) {
	if e, ok := m.(executeRequest); ok && s.f.firstOnConn(e.Conn) {
		s.f.runs[e.Key+"|"+e.Body]++
		ctx.Send(from, executeResponse{Key: e.Key, From: e.From})
	}
}

// markerRecord returns the first record of a stream.
func markerRecord(at time.Time) writeonce.Record {
	data, _ := json.Marshal(writeonce.Batch{ID: "open"})
	return writeonce.Record{Time: at, Data: data}
}
