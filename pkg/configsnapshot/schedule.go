package configsnapshot

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Bounds of a schedule.
const (
	// retentionShare is how many snapshots are written within one retention.
	retentionShare = 8
	// MaxRecords bounds the records that a new reader folds after a snapshot.
	MaxRecords = 2000
	// DefaultRetention is how long a log keeps records if nothing else is known.
	DefaultRetention = 24 * time.Hour
	// rankStep is what each entry waits longer than the one before it.
	rankStep = 20 * time.Second
	// maxRank bounds the wait: more entries than these dying at once before
	// one of them has written is no case.
	maxRank = 16
)

// Schedule decides when this entry writes a snapshot. Any entry may write one;
// the one with the lowest rank is first, and the others see its snapshot
// before their turn comes.
type Schedule struct {
	interval time.Duration
	newest   int64
	seenAt   time.Time
	dueAt    time.Time
}

// NewSchedule returns a schedule for a log that keeps records for retention. 0
// stands for DefaultRetention.
func NewSchedule(retention time.Duration) *Schedule {
	if retention <= 0 {
		retention = DefaultRetention
	}
	return &Schedule{interval: retention / retentionShare, newest: -1}
}

// NoteSnapshot notes a snapshot as of offset that the log took at the time at. An
// older one than the newest seen is ignored.
func (s *Schedule) NoteSnapshot(now time.Time, offset int64, at time.Time) {
	if offset < s.newest {
		return
	}
	s.newest = offset
	s.seenAt = clamp(at, now.Add(-s.interval), now)
	s.dueAt = time.Time{}
}

// Due reports whether this entry must write a snapshot now. offset is what it
// has in force and has confirmed with the log; rank is the number of entries
// that come before it.
func (s *Schedule) Due(now time.Time, offset int64, rank int) bool {
	if offset < 0 || offset < s.newest || !s.wanted(now, offset) {
		s.dueAt = time.Time{}
		return false
	}
	if s.dueAt.IsZero() {
		s.dueAt = now.Add(time.Duration(min(rank, maxRank)) * min(rankStep, s.interval/retentionShare))
	}
	return !now.Before(s.dueAt)
}

// Newest returns the offset of the newest snapshot seen, -1 where none is.
func (s *Schedule) Newest() int64 { return s.newest }

func (s *Schedule) wanted(now time.Time, offset int64) bool {
	return s.newest < 0 || now.Sub(s.seenAt) >= s.interval || offset-s.newest >= MaxRecords
}

// clamp bounds a time of another clock.
func clamp(t, low, high time.Time) time.Time {
	if t.Before(low) {
		return low
	}
	if t.After(high) {
		return high
	}
	return t
}

// WriterOrder returns how many of the entries come before self for the snapshot that
// follows the one at offset. The order differs with each offset, so that the
// work is spread.
func WriterOrder(self string, entries []string, offset int64) int {
	weight := func(name string) uint64 {
		return xxhash.Sum64String(strconv.FormatInt(offset, 10) + "\x00" + name)
	}
	mine := weight(self)
	rank := 0
	for _, name := range entries {
		if name != self && weight(name) > mine {
			rank++
		}
	}
	return rank
}
