package expertmap

import (
	"time"

	"github.com/fescuehub/fescuehub/pkg/ident"
)

// LeaseTimes bound how long a group may be without a planner. No safety property depends on them.
type LeaseTimes struct {
	// RenewInterval is the time between two renewals by the holder.
	RenewInterval time.Duration
	// ExpireAfter is the time without a record of the holder after which another candidate claims
	// the lease.
	ExpireAfter time.Duration
}

// DefaultLeaseTimes are used by a deployment that sets none.
var DefaultLeaseTimes = LeaseTimes{RenewInterval: 30 * time.Second, ExpireAfter: 100 * time.Second}

// LeaseRecord is one record of the lease stream of a group.
type LeaseRecord struct {
	Holder ident.Incarnation `json:"holder"`
	// Fencing is the number of the lease that the record renews, or 0 for a claim. A lease is
	// numbered by the offset of its claim plus 1.
	Fencing int64 `json:"fencing,omitempty"`
}

// LeaseEntry is a lease record with its offset in the stream.
type LeaseEntry struct {
	Offset int64
	Record LeaseRecord
}

// Lease is the state of the lease of one group, as one candidate reads it from the lease stream.
// The newest claim holds the lease. The Fence of every agent refuses orders of an earlier holder
// that has not noticed its loss yet.
type Lease struct {
	self         ident.Incarnation
	times        LeaseTimes
	holder       ident.Incarnation
	fencing      int64
	nextOffset   int64
	holderSeenAt time.Time
	lastWriteAt  time.Time
}

// NewLease returns the lease without a known holder, as the candidate self reads it.
func NewLease(self ident.Incarnation, times LeaseTimes, now time.Time) *Lease {
	return &Lease{self: self, times: times, holderSeenAt: now.Add(-times.ExpireAfter)}
}

// NextOffset returns the offset from which the stream must be read next.
func (l *Lease) NextOffset() int64 { return l.nextOffset }

// Observe applies the records read from NextOffset to the end of the stream.
func (l *Lease) Observe(now time.Time, entries []LeaseEntry) {
	for _, e := range entries {
		if e.Offset < l.nextOffset {
			continue
		}
		l.nextOffset = e.Offset + 1
		if e.Record.Holder == "" {
			continue
		}
		if e.Record.Fencing == 0 {
			l.holder = e.Record.Holder
			l.fencing = e.Offset + 1
		}
		if e.Record.Fencing == 0 || e.Record.Fencing == l.fencing {
			l.holderSeenAt = now
		}
	}
}

// DueRecord returns the record to append now, if any. It must be called right after Observe has
// applied the whole stream, so that a process that was suspended reads its successor's claim
// first.
func (l *Lease) DueRecord(now time.Time) (LeaseRecord, bool) {
	if now.Sub(l.lastWriteAt) < l.times.RenewInterval {
		return LeaseRecord{}, false
	}
	if l.holder == l.self {
		l.lastWriteAt = now
		return LeaseRecord{Holder: l.self, Fencing: l.fencing}, true
	}
	if now.Sub(l.holderSeenAt) < l.times.ExpireAfter {
		return LeaseRecord{}, false
	}
	l.lastWriteAt = now
	return LeaseRecord{Holder: l.self}, true
}

// Held returns the fencing number of the lease, and whether self holds it according to the records
// read so far.
func (l *Lease) Held() (int64, bool) { return l.fencing, l.holder == l.self }
