// Package membudget bounds the bytes that a process holds for requests and messages of its peers. It decides which
// of them must give way when there is no room; it has no clock and performs no I/O.
package membudget

import (
	"sync"
	"time"
)

const (
	// MinStall is how long a claim must have made no progress before it may give way to another: a caller on a slow
	// link that loses a packet pauses for 200 to 400 ms.
	MinStall = 500 * time.Millisecond
	// ProgressBytes is the number of bytes that count as progress. A peer that sends single bytes makes none.
	ProgressBytes = 16 << 10
)

// Budget is a number of bytes that is shared by claims. It is safe for concurrent use.
type Budget struct {
	mu sync.Mutex
	// limit is in bytes; 0 means that there is none.
	limit, used int64
	// receiving holds the claims whose content still arrives.
	receiving map[*Claim]struct{}
}

// New returns a budget of a number of bytes. A limit that is not above 0 means that there is none.
func New(limit int64) *Budget {
	return &Budget{limit: max(limit, 0), receiving: make(map[*Claim]struct{})}
}

// Reason is why a claim gives way.
type Reason int

// The reasons to give way.
const (
	// Memory: the bytes are needed. The peer can be told so.
	Memory Reason = iota
	// Descriptors: its connection has to be closed at once.
	Descriptors
)

// Claim is the part of a budget that one request or message holds.
type Claim struct {
	budget *Budget
	// giveWay is called when the claim has to be released early.
	giveWay func(Reason)

	// The following are guarded by budget.mu.
	bytes int64
	// progressAt is when the content last made progress, and sinceProgress the number of bytes since.
	progressAt    time.Time
	sinceProgress int64
	// evicted is true once giveWay has been called.
	evicted bool
}

// Receive returns a claim of no bytes for content that arrives from now on. While it stalls it may have to give way:
// giveWay is called then, at most once and from any goroutine; it must not block, and the claim must be released
// soon after.
func (b *Budget) Receive(now time.Time, giveWay func(Reason)) *Claim {
	c := &Claim{budget: b, giveWay: giveWay, progressAt: now}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.receiving[c] = struct{}{}
	return c
}

// Grow adds bytes to the claim. It returns false, and adds none, if the budget has no room.
func (c *Claim) Grow(n int64) bool { return c.growWithin(n, 1) }

// GrowOptional is like Grow for bytes that can be done without: it leaves half of the budget to others.
func (c *Claim) GrowOptional(n int64) bool { return c.growWithin(n, 2) }

// growWithin adds bytes if the budget, divided by a number, has room.
func (c *Claim) growWithin(n, divisor int64) bool {
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.limit > 0 && b.used+n > b.limit/divisor {
		return false
	}
	b.used += n
	c.bytes += n
	return true
}

// Received records that bytes of the content have arrived.
func (c *Claim) Received(now time.Time, n int) {
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.sinceProgress += int64(n); c.sinceProgress >= ProgressBytes {
		c.progressAt, c.sinceProgress = now, 0
	}
}

// Complete ends the reception: the claim holds its bytes until it is released. It returns false if the claim had to
// give way before.
func (c *Claim) Complete() bool {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	if !c.evicted {
		delete(c.budget.receiving, c)
	}
	return !c.evicted
}

// Release returns the bytes to the budget. A second call does nothing.
func (c *Claim) Release() {
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.receiving, c)
	b.used -= c.bytes
	c.bytes = 0
}

// EvictStalled makes the claim give way that has made no progress for the longest time, if that is at least MinStall.
// It reports whether there is one, or one that gives way already and holds bytes still. A claim without bytes gives
// way only for its descriptor.
func (b *Budget) EvictStalled(now time.Time, reason Reason) bool {
	b.mu.Lock()
	var victim *Claim
	pending := false
	for c := range b.receiving {
		switch {
		case c.evicted:
			pending = pending || reason == Memory && c.bytes > 0
		case reason == Memory && c.bytes == 0, now.Sub(c.progressAt) < MinStall:
		case victim == nil || c.progressAt.Before(victim.progressAt):
			victim = c
		}
	}
	if pending || victim == nil {
		b.mu.Unlock()
		return pending
	}
	victim.evicted = true
	b.mu.Unlock()
	victim.giveWay(reason)
	return true
}

// Used returns the bytes that are claimed.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}
