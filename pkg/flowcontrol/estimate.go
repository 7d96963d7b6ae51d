package flowcontrol

import (
	"math"
	"time"

	"github.com/fescuehub/fescuehub/pkg/tables"
)

const (
	// meanWeight is the weight of a new sample in a moving mean.
	meanWeight = 1.0 / 32
	// unknownCharge is the slot time charged while no request has been served,
	// in seconds.
	unknownCharge = 1.0

	minRetryAfter = time.Second
	maxRetryAfter = 2 * time.Minute
	// returnPart is the part of the pool's rate at which refused callers are
	// told to come back.
	returnPart = 0.5
	// unknownReturnGap spreads returns while the rate is not known.
	unknownReturnGap = 50 * time.Millisecond
)

// movingMean is an exponentially weighted mean and mean deviation. It starts at
// the first sample.
type movingMean struct {
	value     float64
	deviation float64
	known     bool
}

func (m *movingMean) add(sample float64) {
	if !m.known {
		m.value, m.known = sample, true
		return
	}
	difference := sample - m.value
	m.value += difference * meanWeight
	m.deviation += (math.Abs(difference) - m.deviation) * meanWeight
}

// within returns the value plus a number of deviations.
func (m *movingMean) within(deviations float64) float64 { return m.value + deviations*m.deviation }

// serviceTimes are the mean times from admission to the last byte, in seconds.
type serviceTimes struct {
	overall            movingMean
	interactive, batch movingMean
}

func (s *serviceTimes) add(class tables.Class, seconds float64) {
	s.overall.add(seconds)
	s.of(class).add(seconds)
}

func (s *serviceTimes) of(class tables.Class) *movingMean {
	if class == tables.Batch {
		return &s.batch
	}
	return &s.interactive
}

// within is 0 while no request has been served.
func (s *serviceTimes) within(class tables.Class, deviations float64) float64 {
	return s.of(class).within(deviations)
}

func (s *serviceTimes) charge(class tables.Class) float64 {
	if m := s.of(class); m.known {
		return m.value
	}
	return unknownCharge
}

// minGap keeps the rate finite, in seconds.
const minGap = 1e-6

// answerGaps is the mean time between answers while requests waited throughout,
// in seconds.
type answerGaps struct {
	gap     movingMean
	last    time.Time
	waiting bool
}

// add takes an answer. waiting tells whether requests wait now.
func (a *answerGaps) add(now time.Time, waiting bool) {
	if a.waiting && waiting {
		a.gap.add(max(now.Sub(a.last).Seconds(), minGap))
	}
	a.last = now
	a.waiting = waiting
}

// idle notes that nothing waits any more.
func (a *answerGaps) idle() { a.waiting = false }

// returnSlots spreads the returns of refused callers: each refusal books the
// next slot, and slots follow one another at a part of the pool's rate.
type returnSlots struct {
	next time.Time
}

// book returns how long a refused caller should stay away. random is uniform
// over all values.
func (r *returnSlots) book(now time.Time, rate float64, queued int, random uint64) time.Duration {
	gap := unknownReturnGap
	earliest := minRetryAfter
	if rate > 0 {
		gap = time.Duration(float64(time.Second) / (rate * returnPart))
		earliest = max(earliest, time.Duration(float64(queued)/rate*float64(time.Second)))
	}
	at := now.Add(min(earliest, maxRetryAfter))
	if r.next.After(at) {
		at = r.next
	}
	wait := at.Sub(now)
	if wait > maxRetryAfter {
		return maxRetryAfter/2 + time.Duration(random%uint64(maxRetryAfter/2))
	}
	r.next = at.Add(gap)
	return wait
}
