package expertmap

import (
	"time"

	"github.com/fescuehub/fescuehub/pkg/ident"
)

// LeaseTimes bound how long a group goes without a planner; no property rests
// on them.
type LeaseTimes struct {
	// RenewInterval is the time between two renewals by the holder.
	RenewInterval time.Duration
	// ExpireAfter is how long nothing may be heard of a holder before another
	// candidate claims the lease.
	ExpireAfter time.Duration
}

// DefaultLeaseTimes are the times of a deployment that sets none.
var DefaultLeaseTimes = LeaseTimes{RenewInterval: 30 * time.Second, ExpireAfter: 100 * time.Second}

// LeaseRecord is one record of the lease stream of a group.
type LeaseRecord struct {
	Holder ident.Incarnation `json:"holder"`
	// Fencing is the number of the lease that the record renews, 0 for a
	// claim. The number of a claimed lease is the offset of its claim plus 1.
	Fencing int64 `json:"fencing,omitempty"`
}

// LeaseEntry is a lease record with its offset in the stream.
type LeaseEntry struct {
	Offset int64
	Record LeaseRecord
}

// Lease follows the lease stream of one group at one candidate. The newest
// claim holds the lease. An old holder that has not noticed is stopped by the
// Fence at every agent.
type Lease struct {
	self    ident.Incarnation
	times   LeaseTimes
	holder  ident.Incarnation
	fencing int64
	next    int64
	heardAt time.Time
	wroteAt time.Time
}

// NewLease returns a lease that nobody is known to hold, seen from self.
func NewLease(self ident.Incarnation, times LeaseTimes, now time.Time) *Lease {
	return &Lease{self: self, times: times, heardAt: now.Add(-times.ExpireAfter)}
}

// NextOffset returns the offset from which the stream has to be read.
func (l *Lease) NextOffset() int64 { return l.next }

// Observe takes the records that were read from Next to the end of the stream.
func (l *Lease) Observe(now time.Time, entries []LeaseEntry) {
	for _, e := range entries {
		if e.Offset < l.next {
			continue
		}
		l.next = e.Offset + 1
		if e.Record.Holder == "" {
			continue
		}
		if e.Record.Fencing == 0 {
			l.holder = e.Record.Holder
			l.fencing = e.Offset + 1
		}
		if e.Record.Fencing == 0 || e.Record.Fencing == l.fencing {
			l.heardAt = now
		}
	}
}

// DueRecord returns the record to append now, if any. It must follow an Observe of
// the whole stream at the same time, so that a process that wakes up late sees
// its successor first.
func (l *Lease) DueRecord(now time.Time) (LeaseRecord, bool) {
	if now.Sub(l.wroteAt) < l.times.RenewInterval {
		return LeaseRecord{}, false
	}
	if l.holder == l.self {
		l.wroteAt = now
		return LeaseRecord{Holder: l.self, Fencing: l.fencing}, true
	}
	if now.Sub(l.heardAt) < l.times.ExpireAfter {
		return LeaseRecord{}, false
	}
	l.wroteAt = now
	return LeaseRecord{Holder: l.self}, true
}

// Held returns the fencing number of the lease if self holds it as far as the
// stream has been read.
func (l *Lease) Held() (int64, bool) { return l.fencing, l.holder == l.self }
