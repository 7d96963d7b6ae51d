package routing

import (
	"time"

	decision "github.com/fescuehub/fescuehub/pkg/routing"
)

// eventKind is what an event of the simulation does.
type eventKind int

const (
	requestArrival eventKind = iota
	requestAtReplica
	stepFinished
	loadRefresh
	statusDue
	loadReceived
	attemptFailed
	faultStart
	faultEnd
	linksClosed
)

// event is one event of the simulation. Events of the same time run in the order of seq.
type event struct {
	at       time.Duration
	seq      int
	kind     eventKind
	request  *request
	replica  *replica
	entry    *entry
	stepTime time.Duration
	load     decision.Load
}

// eventQueue is a heap of events ordered by time, then by seq.
type eventQueue []*event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	if q[i].at == q[j].at {
		return q[i].seq < q[j].seq
	}
	return q[i].at < q[j].at
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(*event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}
