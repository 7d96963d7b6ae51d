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
	pending map[string]*PendingClaim
	// pausedUntil refuses new claims at once after a failed append. It counts
	// from the start of the agent.
	pausedUntil time.Duration
}

// PendingClaim is a claim on its way to the log.
type PendingClaim struct {
	// offset of the record, -1 until the log has confirmed it.
	offset int64
	err    *problem.Error
}

// Attempt is one try of a call at an agent, from its arrival to its reply.
type Attempt struct {
	Write  Write
	ticket *PendingClaim
	gaveUp bool
}

// NewPartition returns the partition of an agent that starts now.
func NewPartition(self ident.Incarnation) *Partition {
	return NewPartitionWithout(self, DisabledChecks{})
}

// NewPartitionWithout returns a partition with mechanisms turned off, for
// tests.
func NewPartitionWithout(self ident.Incarnation, off DisabledChecks) *Partition {
	return &Partition{Ledger: NewLedgerWithout(self, off), pending: make(map[string]*PendingClaim)}
}

// Step decides about a try. After Wait and MakeClaim it is called again when
// the partition has changed.
func (p *Partition) Step(elapsed time.Duration, t *Attempt) Decision {
	d := p.Decide(elapsed, t.Write)
	if d.Action != AppendClaim {
		return d
	}
	if t.ticket == nil {
		t.ticket = p.claim(elapsed, t.Write)
	}
	switch {
	case t.gaveUp, t.ticket.err != nil && t.ticket.err.Outcome == problem.NotRun:
		return reply(logDown())
	case t.ticket.offset >= 0 && t.ticket.offset < p.claims.NextOffset():
		return reply(clockAhead(t.Write.Key))
	}
	return d
}

// claim queues a claim of the key, or joins one that is on its way.
func (p *Partition) claim(elapsed time.Duration, w Write) *PendingClaim {
	if t, ok := p.pending[w.Key.text]; ok {
		return t
	}
	t := &PendingClaim{offset: -1}
	if elapsed < p.pausedUntil {
		t.err = logDown()
		return t
	}
	p.pending[w.Key.text] = t
	p.queue = append(p.queue, Claim{Key: w.Key.text, Digest: w.Digest[:]})
	return t
}

// AbandonClaim ends the wait of a try for its claim. The claim may stand, so the key
// is refused for ever before the caller is told.
func (p *Partition) AbandonClaim(elapsed time.Duration, t *Attempt) {
	if t.ticket != nil {
		p.Refuse(elapsed, t.Write.Key, t.Write.Digest)
		t.gaveUp = true
	}
}

// QueuedClaims returns the number of claims that wait to be appended.
func (p *Partition) QueuedClaims() int { return len(p.queue) }

// DequeueClaims takes the claims of the next record from the queue.
func (p *Partition) DequeueClaims() []Claim {
	n := min(len(p.queue), claimsPerRecord)
	out := p.queue[:n:n]
	p.queue = p.queue[n:]
	return out
}

// AppendDone takes the end of the append of a record. After an error with an
// outcome other than NotRun, what is read back decides.
func (p *Partition) AppendDone(elapsed time.Duration, claims []Claim, offset int64, err *problem.Error) {
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
		if t.offset >= 0 && t.offset < p.claims.NextOffset() {
			delete(p.pending, key)
		}
	}
	return lost
}
