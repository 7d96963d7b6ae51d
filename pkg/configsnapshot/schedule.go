package configsnapshot

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// snapshotsPerRetention is the number of snapshots within the log's retention.
	snapshotsPerRetention = 8
	// MaxRecords bounds the records that a new reader folds after a snapshot: a
	// new snapshot is due after that many records.
	MaxRecords = 2000
	// DefaultRetention is the assumed retention of a log whose retention is not
	// set.
	DefaultRetention = 24 * time.Hour
	// writerDelay is the additional delay of each entry after the one before it.
	writerDelay = 20 * time.Second
	// maxDelayedPosition bounds the delay. The failure of more entries than this before one
	// of them writes a snapshot is not provided for.
	maxDelayedPosition = 16
)

// Schedule decides when this entry writes a snapshot. Any entry may write one.
// The entry with the lowest position (see WriterOrder) writes first; the others
// see its snapshot before their own delay has passed.
type Schedule struct {
	// interval is the time between snapshots.
	interval time.Duration
	// newest is the offset of the newest snapshot seen, -1 before the first.
	newest int64
	// writtenAt is when the newest snapshot was written, by the log's clock, limited to the
	// interval before it was noted.
	writtenAt time.Time
	// dueAt is when this entry writes; zero while no snapshot is wanted.
	dueAt time.Time
}

// NewSchedule returns a schedule for a log that keeps records for retention. 0
// means DefaultRetention.
func NewSchedule(retention time.Duration) *Schedule {
	if retention <= 0 {
		retention = DefaultRetention
	}
	return &Schedule{interval: retention / snapshotsPerRetention, newest: -1}
}

// NoteSnapshot records that the log appended a snapshot of the state at offset at
// the time at, by the log's clock. A snapshot older than the newest is ignored.
func (s *Schedule) NoteSnapshot(now time.Time, offset int64, at time.Time) {
	if offset < s.newest {
		return
	}
	s.newest = offset
	s.writtenAt = clamp(at, now.Add(-s.interval), now)
	s.dueAt = time.Time{}
}

// Due reports whether this entry must write a snapshot now. offset is in force
// here and confirmed with the log; position is the number of entries that write
// before this one.
func (s *Schedule) Due(now time.Time, offset int64, position int) bool {
	if offset < 0 || offset < s.newest || !s.wanted(now, offset) {
		s.dueAt = time.Time{}
		return false
	}
	if s.dueAt.IsZero() {
		s.dueAt = now.Add(time.Duration(min(position, maxDelayedPosition)) * min(writerDelay, s.interval/snapshotsPerRetention))
	}
	return !now.Before(s.dueAt)
}

// Newest returns the offset of the newest snapshot seen, -1 if there is none.
func (s *Schedule) Newest() int64 { return s.newest }

// wanted reports whether any entry should write a snapshot of the state at
// offset.
func (s *Schedule) wanted(now time.Time, offset int64) bool {
	return s.newest < 0 || now.Sub(s.writtenAt) >= s.interval || offset-s.newest >= MaxRecords
}

// clamp limits a time of another clock to the range from low to high.
func clamp(t, low, high time.Time) time.Time {
	if t.Before(low) {
		return low
	}
	if t.After(high) {
		return high
	}
	return t
}

// WriterOrder returns how many of the entries come before self in the order of
// writers for the snapshot after the one at offset. The order is a hash of the
// offset and the name, so that the work is spread over the entries.
func WriterOrder(self string, entries []string, offset int64) int {
	weight := func(name string) uint64 {
		return xxhash.Sum64String(strconv.FormatInt(offset, 10) + "\x00" + name)
	}
	own := weight(self)
	position := 0
	for _, name := range entries {
		if name != self && weight(name) > own {
			position++
		}
	}
	return position
}
