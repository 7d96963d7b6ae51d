package writeonce_test

import (
	"encoding/json"
	"time"

	"github.com/fescuehub/fescuehub/pkg/faultmatrix"
	"github.com/fescuehub/fescuehub/pkg/problem"
	"github.com/fescuehub/fescuehub/pkg/writeonce"
)

// facts is what the outside saw, and the state of the platform.
type facts struct {
	off   writeonce.DisabledChecks
	runs  map[string]int
	conns map[int]bool
	ops   []operation
	conn  int
	// records are those of the log. A restart of the log drops them.
	records   []writeonce.Record
	downUntil time.Time
	slowUntil time.Time
	loseState bool
	// outagePlans, firstOps and lastOps serve the count of a long outage.
	outagePlans       []*plan
	firstOps, lastOps map[string]int
}

// Inject applies the faults of the platform.
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

// once reports whether the message is the first on its connection: a
// connection carries a request at most once.
func (f *facts) once(conn int) bool {
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
	case appendMsg:
		if down {
			ctx.Send(from, appendEnd{ID: m.ID, P: problem.New(problem.LogUnavailable, "", "down").WithOutcome(problem.NotRun)})
			return
		}
		offset := int64(len(l.f.records))
		l.f.records = append(l.f.records, writeonce.Record{Offset: offset, Time: ctx.Now, Data: m.Data})
		l.answer(ctx, from, appendEnd{ID: m.ID, Offset: offset})
	case readMsg:
		if down {
			ctx.Send(from, readEnd{P: problem.New(problem.LogUnavailable, "", "down")})
			return
		}
		n := int64(len(l.f.records))
		l.answer(ctx, from, readEnd{Page: writeonce.Page{From: m.From, Next: n, Records: l.f.records[min(m.From, n):n:n]}})
	case faultmatrix.Restarted:
		if l.f.loseState {
			l.f.records = nil
		}
	case delayed:
		ctx.Send(m.to, m.m)
	case longLogOutage:
		l.f.downUntil = ctx.Now.Add(m.d)
	}
}

// longLogOutage takes the log down for a time.
type longLogOutage struct{ d time.Duration }

type delayed struct {
	to string
	m  faultmatrix.Message
}

func (l *logNode) answer(ctx *faultmatrix.Context, to string, m faultmatrix.Message) {
	if ctx.Now.Before(l.f.slowUntil) {
		ctx.After(2*appendWait, delayed{to, m})
		return
	}
	ctx.Send(to, m)
}

// serviceNode is a backend server that checks nothing and counts executions.
type serviceNode struct{ f *facts }

func (s *serviceNode) Handle(ctx *faultmatrix.Context, from string, m faultmatrix.Message) {
	if e, ok := m.(execute); ok && s.f.once(e.Conn) {
		s.f.runs[e.Key+"|"+e.Body]++
		ctx.Send(from, executed{Key: e.Key, From: e.From})
	}
}

// marker returns the record that opens the stream.
func marker(at time.Time) writeonce.Record {
	data, _ := json.Marshal(writeonce.Batch{ID: "open"})
	return writeonce.Record{Time: at, Data: data}
}
