package routing

import (
	"time"

	decision "github.com/fescuehub/fescuehub/pkg/routing"
)

type eventKind int

const (
	arrive eventKind = iota
	reach
	stepEnd
	refresh
	status
	loadSeen
	attemptFailed
	faultBegins
	faultEnds
	linksClosed
)

type event struct {
	at      time.Duration
	order   int
	kind    eventKind
	request *request
	replica *replica
	entry   *entry
	took    time.Duration
	load    decision.Load
}

// eventQueue is a heap by time, then by order.
type eventQueue []*event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	if q[i].at == q[j].at {
		return q[i].order < q[j].order
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
