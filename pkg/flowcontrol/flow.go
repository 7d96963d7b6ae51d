package flowcontrol

import (
	"container/heap"

	"github.com/fescuehub/fescuehub/pkg/tables"
)

// minSweepArrivals is the fewest arrivals between two sweeps of idle flows.
const minSweepArrivals = 64

type flowKey struct {
	organisation string
	class        tables.Class
}

// flow is the queue of one organisation in one class. The tag is the virtual
// time at which its next request starts, in seconds of slot time for each
// share.
type flow struct {
	key        flowKey
	share      int
	tag        float64
	period     int64
	waiting    int
	inFlight   int
	head, tail *Ticket
	// index in the heap of its class, -1 while nothing waits.
	index int
}

// load returns the queue's length for each share, with more requests added.
func (f *flow) load(more int) float64 {
	return float64(f.waiting+more) / float64(f.share)
}

// classQueue serves the flows of one class by start-time fair queueing over
// the time that their requests hold slots.
type classQueue struct {
	heap    flowHeap
	virtual float64
	waiting int
	// shares is the sum over the flows that wait.
	shares int
}

// first returns the flow whose turn it is, nil if none waits.
func (q *classQueue) first() *flow {
	if len(q.heap) == 0 {
		return nil
	}
	return q.heap[0]
}

// start charges the flow for one admission.
func (q *classQueue) start(f *flow, charge float64) {
	begin := max(q.virtual, f.tag)
	q.virtual = begin
	f.tag = begin + charge
	if f.index >= 0 {
		heap.Fix(&q.heap, f.index)
	}
}

// correct adds the difference between the true charge and the estimated one. A
// flow never gets ahead of the virtual time.
func (q *classQueue) correct(f *flow, difference float64) {
	f.tag = max(f.tag+difference, q.virtual)
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
		f = &flow{key: key, index: -1, period: c.period}
		c.flows[key] = f
	}
	if f.share != r.Share {
		if f.index >= 0 {
			c.class(f).shares += r.Share - f.share
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
	c.noteWaiting(f)
}

// enqueueFirst puts a ticket before all others of its flow.
func (c *Controller) enqueueFirst(f *flow, t *Ticket) {
	t.next = f.head
	if f.head == nil {
		f.tail = t
	} else {
		f.head.prev = t
	}
	f.head = t
	c.noteWaiting(f)
}

// noteWaiting counts one more ticket of a flow and lets the flow compete.
func (c *Controller) noteWaiting(f *flow) {
	q := c.class(f)
	c.flows[f.key] = f
	f.waiting++
	q.waiting++
	if f.index < 0 {
		if f.period != c.period {
			f.tag = q.virtual
			f.period = c.period
		}
		f.tag = max(f.tag, q.virtual)
		q.shares += f.share
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
		c.answers.idle()
	}
	if f.waiting == 0 {
		q.shares -= f.share
		heap.Remove(&q.heap, f.index)
	}
}

// forgetIfIdle drops a flow that holds nothing and owes nothing: a new flow
// would start at the same tag.
func (c *Controller) forgetIfIdle(f *flow) {
	if f.waiting > 0 || f.inFlight > 0 {
		return
	}
	if f.period != c.period || f.tag <= c.class(f).virtual {
		delete(c.flows, f.key)
	}
}

// sweep drops idle flows once in as many arrivals as there were flows after
// the sweep before.
func (c *Controller) sweep() {
	c.arrivals++
	if c.arrivals < c.sweepAfter+minSweepArrivals {
		return
	}
	c.arrivals = 0
	for _, f := range c.flows {
		c.forgetIfIdle(f)
	}
	c.sweepAfter = len(c.flows)
}

// longestFlow returns the flow that should give way to a newcomer: the one
// with the longest queue for its share. Batch gives way to interactive first,
// and never the reverse.
func (c *Controller) longestFlow(newcomer tables.Class) *flow {
	if newcomer == tables.Batch || c.classes[1].waiting > c.limits.QueueLimit/organisationPart {
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
		if best == nil || f.load(0) > best.load(0) {
			best = f
		}
	}
	return best
}

// flowHeap orders flows by tag, equal ones by name so that the order is the
// same in each run.
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
