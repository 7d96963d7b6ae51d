package flowcontrol

import (
	"container/heap"

	"github.com/fescuehub/fescuehub/pkg/tables"
)

// minSweepArrivals is the minimum number of arrivals between two sweeps of idle flows.
const minSweepArrivals = 64

type flowKey struct {
	organisation string
	class        tables.Class
}

// flow is the queue of one organisation in one class. tag is the virtual time at which its next
// request starts, in seconds of slot time divided by the flow's share.
type flow struct {
	key        flowKey
	share      int
	tag        float64
	busyPeriod int64
	waiting    int
	inFlight   int
	head, tail *Ticket
	// index is the position in the heap of the class, -1 while no request waits.
	index int
}

// relativeLength returns the queue's length, with extra requests added, divided by the flow's
// share.
func (f *flow) relativeLength(more int) float64 {
	return float64(f.waiting+more) / float64(f.share)
}

// classQueue schedules the flows of one class by start-time fair queueing over the time for which
// their requests hold slots.
type classQueue struct {
	heap        flowHeap
	virtualTime float64
	waiting     int
	// waitingShares is the sum of the shares of the flows that have waiting requests.
	waitingShares int
}

// next returns the flow whose request starts next, or nil if none waits.
func (q *classQueue) next() *flow {
	if len(q.heap) == 0 {
		return nil
	}
	return q.heap[0]
}

// charge advances the virtual time to the start of the flow's next request and charges the flow for
// it.
func (q *classQueue) charge(f *flow, charge float64) {
	begin := max(q.virtualTime, f.tag)
	q.virtualTime = begin
	f.tag = begin + charge
	if f.index >= 0 {
		heap.Fix(&q.heap, f.index)
	}
}

// adjust adds the difference between the actual and the estimated charge. The tag of a flow never
// falls behind the virtual time, so that a flow cannot accumulate credit.
func (q *classQueue) adjust(f *flow, difference float64) {
	f.tag = max(f.tag+difference, q.virtualTime)
	if f.index >= 0 {
		heap.Fix(&q.heap, f.index)
	}
}

func (c *Controller) class(f *flow) *classQueue {
	if f.key.class == tables.Batch {
		return &c.classes[1]
	}
	return &c.classes[0]
}

func (c *Controller) flowOf(r Request) *flow {
	key := flowKey{r.Organisation, r.Class}
	f, ok := c.flows[key]
	if !ok {
		f = &flow{key: key, index: -1, busyPeriod: c.busyPeriod}
		c.flows[key] = f
	}
	if f.share != r.Share {
		if f.index >= 0 {
			c.class(f).waitingShares += r.Share - f.share
		}
		f.share = r.Share
	}
	return f
}

func (c *Controller) enqueue(f *flow, t *Ticket) {
	t.flow = f
	t.prev = f.tail
	if f.tail == nil {
		f.head = t
	} else {
		f.tail.next = t
	}
	f.tail = t
	c.addWaiting(f)
}

// enqueueFront adds a ticket at the head of its flow's queue.
func (c *Controller) enqueueFront(f *flow, t *Ticket) {
	t.next = f.head
	if f.head == nil {
		f.tail = t
	} else {
		f.head.prev = t
	}
	f.head = t
	c.addWaiting(f)
}

// addWaiting counts one more waiting ticket of a flow and puts the flow into the heap of its class.
// A flow that returns in a new busy period starts without debt.
func (c *Controller) addWaiting(f *flow) {
	q := c.class(f)
	c.flows[f.key] = f
	f.waiting++
	q.waiting++
	if f.index < 0 {
		if f.busyPeriod != c.busyPeriod {
			f.tag = q.virtualTime
			f.busyPeriod = c.busyPeriod
		}
		f.tag = max(f.tag, q.virtualTime)
		q.waitingShares += f.share
		heap.Push(&q.heap, f)
	}
}

func (c *Controller) dequeue(t *Ticket) {
	f := t.flow
	q := c.class(f)
	if t.prev == nil {
		f.head = t.next
	} else {
		t.prev.next = t.next
	}
	if t.next == nil {
		f.tail = t.prev
	} else {
		t.next.prev = t.prev
	}
	t.prev, t.next = nil, nil
	t.state = ended
	f.waiting--
	q.waiting--
	if c.waitingCount() == 0 {
		c.responseGaps.markIdle()
	}
	if f.waiting == 0 {
		q.waitingShares -= f.share
		heap.Remove(&q.heap, f.index)
	}
}

// removeIfIdle drops a flow that has no requests and no debt: a new flow would start with the same
// tag.
func (c *Controller) removeIfIdle(f *flow) {
	if f.waiting > 0 || f.inFlight > 0 {
		return
	}
	if f.busyPeriod != c.busyPeriod || f.tag <= c.class(f).virtualTime {
		delete(c.flows, f.key)
	}
}

// sweep drops idle flows. It runs once in as many arrivals as flows remained after the previous
// sweep, plus minSweepArrivals, so that its amortised cost is constant.
func (c *Controller) sweep() {
	c.arrivals++
	if c.arrivals < c.flowsAfterSweep+minSweepArrivals {
		return
	}
	c.arrivals = 0
	for _, f := range c.flows {
		c.removeIfIdle(f)
	}
	c.flowsAfterSweep = len(c.flows)
}

// longestFlow returns the flow whose newest request is displaced in favour of a new request of the
// given class: the one with the longest queue relative to its share. A new batch request displaces
// only batch requests. A new interactive request displaces a batch request while the batch class
// fills more than half of the queue or no interactive request waits.
func (c *Controller) longestFlow(class tables.Class) *flow {
	if class == tables.Batch || c.classes[1].waiting > c.limits.QueueLimit/organisationQueueDivisor {
		return c.classes[1].longest()
	}
	if f := c.classes[0].longest(); f != nil {
		return f
	}
	return c.classes[1].longest()
}

func (q *classQueue) longest() *flow {
	var best *flow
	for _, f := range q.heap {
		if best == nil || f.relativeLength(0) > best.relativeLength(0) {
			best = f
		}
	}
	return best
}

// flowHeap orders flows by tag, and those with equal tags by organisation, so that the order is
// deterministic.
type flowHeap []*flow

// Len implements heap.Interface.
func (h flowHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h flowHeap) Less(i, j int) bool {
	if h[i].tag != h[j].tag {
		return h[i].tag < h[j].tag
	}
	return h[i].key.organisation < h[j].key.organisation
}

// Swap implements heap.Interface.
func (h flowHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.index = len(*h)
	*h = append(*h, f)
}

// Pop implements heap.Interface.
func (h *flowHeap) Pop() any {
	old := *h
	f := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	f.index = -1
	return f
}
