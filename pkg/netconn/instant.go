package netconn

import (
	"sync/atomic"
	"time"
)

// reference is the time that an Instant counts from. It holds a reading of the steady clock, since the time of day may
// jump.
var reference = time.Now()

// Instant is a time of the steady clock that several goroutines may use. The zero value is no time.
type Instant struct{ nanoseconds atomic.Int64 }

// Set sets the time, which must hold a reading of the steady clock and be later than the start of the process.
func (i *Instant) Set(t time.Time) { i.nanoseconds.Store(int64(t.Sub(reference)) + 1) }

// Clear sets no time.
func (i *Instant) Clear() { i.nanoseconds.Store(0) }

// Get returns the time; the zero time if none is set.
func (i *Instant) Get() time.Time {
	n := i.nanoseconds.Load()
	if n == 0 {
		return time.Time{}
	}
	return reference.Add(time.Duration(n - 1))
}
