package writeonce

import (
	"time"

	"github.com/fescuehub/fescuehub/pkg/ident"
	"github.com/fescuehub/fescuehub/pkg/problem"
)

const (
	// claimsPerRecord limits the claims in one record of a claim stream.
	claimsPerRecord = 2000
	// failedAppendPause is how long new claims are refused after a failed append.
	failedAppendPause = time.Second
	// logRetryAfter is the Retry-After of refusals while the log is unavailable.
	logRetryAfter = 5 * time.Second
)

// Partition is the ledger of one partition's keys together with the claims that are being
// appended to the log. It is not safe for concurrent use.
type Partition struct {
	*Ledger
	queue []Claim
	// pending holds the claims that are queued, or appended and not yet read back, by key.
	pending map[string]*PendingClaim
	// claimsPausedUntil is the time, counted from the start of the agent, until which new claims
	// are refused because an append failed.
	claimsPausedUntil time.Duration
}

// PendingClaim is a claim that is being appended to the log.
type PendingClaim struct {
	// offset is that of the record, or -1 until the log has confirmed the append.
	offset int64
	err    *problem.Error
}

// Attempt is one attempt of a call at an agent, from its arrival to the reply.
type Attempt struct {
	Write          Write
	claim          *PendingClaim
	claimAbandoned bool
}

// NewPartition returns the partition of an agent that starts now.
func NewPartition(self ident.Incarnation) *Partition {
	return NewPartitionWithout(self, DisabledChecks{})
}

// NewPartitionWithout returns a partition with mechanisms turned off. It is for tests.
func NewPartitionWithout(self ident.Incarnation, off DisabledChecks) *Partition {
	return &Partition{Ledger: NewLedgerWithout(self, off), pending: make(map[string]*PendingClaim)}
}

// Step returns what to do with an attempt. After Wait and AppendClaim, call it again whenever the
// partition has changed.
func (p *Partition) Step(elapsed time.Duration, a *Attempt) Decision {
	d := p.Decide(elapsed, a.Write)
	if d.Action != AppendClaim {
		return d
	}
	if a.claim == nil {
		a.claim = p.requestClaim(elapsed, a.Write)
	}
	switch {
	case a.claimAbandoned, a.claim.err != nil && a.claim.err.Outcome == problem.NotRun:
		return reply(logUnavailable())
	case a.claim.offset >= 0 && a.claim.offset < p.claims.NextOffset():
		return reply(clockAhead(a.Write.Key))
	}
	return d
}

// requestClaim queues a claim of the key, or returns the one that is already pending.
func (p *Partition) requestClaim(elapsed time.Duration, w Write) *PendingClaim {
	if t, ok := p.pending[w.Key.text]; ok {
		return t
	}
	t := &PendingClaim{offset: -1}
	if elapsed < p.claimsPausedUntil {
		t.err = logUnavailable()
		return t
	}
	p.pending[w.Key.text] = t
	p.queue = append(p.queue, Claim{Key: w.Key.text, Digest: w.Digest[:]})
	return t
}

// AbandonClaim stops an attempt from waiting for its claim. The claim may be in the log all the
// same, so the key is refused permanently before the caller gets a reply.
func (p *Partition) AbandonClaim(elapsed time.Duration, a *Attempt) {
	if a.claim != nil {
		p.Refuse(elapsed, a.Write.Key, a.Write.Digest)
		a.claimAbandoned = true
	}
}

// QueuedClaims returns the number of claims that are not yet being appended.
func (p *Partition) QueuedClaims() int { return len(p.queue) }

// DequeueClaims removes the claims of the next record from the queue and returns them.
func (p *Partition) DequeueClaims() []Claim {
	n := min(len(p.queue), claimsPerRecord)
	out := p.queue[:n:n]
	p.queue = p.queue[n:]
	return out
}

// AppendDone records the result of appending a record. If the outcome of err is not NotRun, the
// append may have succeeded, and reading the stream back decides.
func (p *Partition) AppendDone(elapsed time.Duration, claims []Claim, offset int64, err *problem.Error) {
	if err != nil {
		p.claimsPausedUntil = elapsed + failedAppendPause
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

// Observe applies a page of the claim stream that was read from Claims().ReadOffset(). It reports
// whether the stream lost records.
func (p *Partition) Observe(page Page) (lost bool) {
	lost = p.claims.Observe(page)
	for key, t := range p.pending {
		if t.offset >= 0 && t.offset < p.claims.NextOffset() {
			delete(p.pending, key)
		}
	}
	return lost
}
