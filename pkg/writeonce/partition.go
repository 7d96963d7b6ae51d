package writeonce

import (
	"time"

	"github.com/fescuehub/fescuehub/pkg/ident"
	"github.com/fescuehub/fescuehub/pkg/problem"
)

const (
	// claimsPerRecord bounds one record of a claim stream.
	claimsPerRecord = 2000
	// appendPause is how long new claims are refused after a failed append.
	appendPause = time.Second
	// logRetryAfter is when a caller may come back while the log is down.
	logRetryAfter = 5 * time.Second
)

// Partition is the ledger of the keys of one partition with the claims that
// are on their way to the log. It is not safe for concurrent use.
type Partition struct {
	*Ledger
	queue   []Claim
	pending map[string]*Ticket
	// pausedUntil refuses new claims at once after a failed append. It counts
	// from the start of the agent.
	pausedUntil time.Duration
}

// Ticket is a claim on its way to the log.
type Ticket struct {
	// offset of the record, -1 until the log has confirmed it.
	offset int64
	err    *problem.Error
}

// Try is one try of a call at an agent, from its arrival to its reply.
type Try struct {
	Write  Write
	ticket *Ticket
	gaveUp bool
}

// NewPartition returns the partition of an agent that starts now.
func NewPartition(self ident.Incarnation) *Partition {
	return NewPartitionWithout(self, Switches{})
}

// NewPartitionWithout returns a partition with mechanisms turned off, for
// tests.
func NewPartitionWithout(self ident.Incarnation, off Switches) *Partition {
	return &Partition{Ledger: NewLedgerWithout(self, off), pending: make(map[string]*Ticket)}
}

// Step decides about a try. After Wait and MakeClaim it is called again when
// the partition has changed.
func (p *Partition) Step(elapsed time.Duration, t *Try) Decision {
	d := p.Open(elapsed, t.Write)
	if d.Action != MakeClaim {
		return d
	}
	if t.ticket == nil {
		t.ticket = p.claim(elapsed, t.Write)
	}
	switch {
	case t.gaveUp, t.ticket.err != nil && t.ticket.err.Outcome == problem.NotRun:
		return reply(logDown())
	case t.ticket.offset >= 0 && t.ticket.offset < p.claims.Next():
		return reply(clockAhead(t.Write.Key))
	}
	return d
}

// claim queues a claim of the key, or joins one that is on its way.
func (p *Partition) claim(elapsed time.Duration, w Write) *Ticket {
	if t, ok := p.pending[w.Key.text]; ok {
		return t
	}
	t := &Ticket{offset: -1}
	if elapsed < p.pausedUntil {
		t.err = logDown()
		return t
	}
	p.pending[w.Key.text] = t
	p.queue = append(p.queue, Claim{Key: w.Key.text, Digest: w.Digest[:]})
	return t
}

// GiveUp ends the wait of a try for its claim. The claim may stand, so the key
// is refused for ever before the caller is told.
func (p *Partition) GiveUp(elapsed time.Duration, t *Try) {
	if t.ticket != nil {
		p.Refuse(elapsed, t.Write.Key, t.Write.Digest)
		t.gaveUp = true
	}
}

// Queued returns the number of claims that wait to be appended.
func (p *Partition) Queued() int { return len(p.queue) }

// NextClaims takes the claims of the next record from the queue.
func (p *Partition) NextClaims() []Claim {
	n := min(len(p.queue), claimsPerRecord)
	out := p.queue[:n:n]
	p.queue = p.queue[n:]
	return out
}

// Appended takes the end of the append of a record. After an error with an
// outcome other than NotRun, what is read back decides.
func (p *Partition) Appended(elapsed time.Duration, claims []Claim, offset int64, err *problem.Error) {
	if err != nil {
		p.pausedUntil = elapsed + appendPause
	}
	for _, c := range claims {
		t, ok := p.pending[c.Key]
		switch {
		case !ok:
		case err != nil:
			t.err = err
			delete(p.pending, c.Key)
		default:
			t.offset = offset
		}
	}
}

// Observe takes a page of the claim stream that was read from Claims().From().
// It reports whether the stream lost records.
func (p *Partition) Observe(page Page) (lost bool) {
	lost = p.claims.Observe(page)
	for key, t := range p.pending {
		if t.offset >= 0 && t.offset < p.claims.Next() {
			delete(p.pending, key)
		}
	}
	return lost
}
