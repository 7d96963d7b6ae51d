package flowcontrol

import (
	"math"
	"time"

	"github.com/fescuehub/fescuehub/pkg/tables"
)

const (
	// sampleWeight is the weight of a new sample in a moving mean.
	sampleWeight = 1.0 / 32
	// defaultChargeSeconds is the slot time charged to a flow until a request of its class has been
	// served.
	defaultChargeSeconds = 1.0

	minRetryAfter = time.Second
	maxRetryAfter = 2 * time.Minute
	// retryRateShare is the share of the pool's service rate at which refused callers are told to
	// retry.
	retryRateShare = 0.5
	// defaultRetryInterval separates the retry times of refused callers while the service rate is
	// unknown.
	defaultRetryInterval = 50 * time.Millisecond
)

// movingMean is an exponentially weighted moving mean with its mean absolute deviation. The first
// sample initialises it.
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
	m.value += difference * sampleWeight
	m.deviation += (math.Abs(difference) - m.deviation) * sampleWeight
}

// withDeviations returns the mean plus a number of mean deviations.
func (m *movingMean) withDeviations(deviations float64) float64 {
	return m.value + deviations*m.deviation
}

// serviceTimes holds the mean times from the admission of a request to the last byte of its
// response, in seconds.
type serviceTimes struct {
	overall            movingMean
	interactive, batch movingMean
}

func (s *serviceTimes) add(class tables.Class, seconds float64) {
	s.overall.add(seconds)
	s.forClass(class).add(seconds)
}

func (s *serviceTimes) forClass(class tables.Class) *movingMean {
	if class == tables.Batch {
		return &s.batch
	}
	return &s.interactive
}

// withDeviations returns the mean service time of the class plus a number of deviations, or 0 while
// no request of the class has been served.
func (s *serviceTimes) withDeviations(class tables.Class, deviations float64) float64 {
	return s.forClass(class).withDeviations(deviations)
}

func (s *serviceTimes) charge(class tables.Class) float64 {
	if m := s.forClass(class); m.known {
		return m.value
	}
	return defaultChargeSeconds
}

// minResponseGapSeconds is the minimum of a measured gap; it keeps the service rate finite.
const minResponseGapSeconds = 1e-6

// responseGaps measures the mean time between responses, in seconds. It counts only gaps during
// which requests waited throughout.
type responseGaps struct {
	gap     movingMean
	last    time.Time
	waiting bool
}

// add records a response. waiting reports whether requests wait now.
func (g *responseGaps) add(now time.Time, waiting bool) {
	if g.waiting && waiting {
		g.gap.add(max(now.Sub(g.last).Seconds(), minResponseGapSeconds))
	}
	g.last = now
	g.waiting = waiting
}

// markIdle records that the queue became empty, so that the current gap is not counted.
func (g *responseGaps) markIdle() { g.waiting = false }

// retrySlots spreads the retries of refused callers over time: each refusal reserves the next slot,
// and slots follow each other at a share of the pool's service rate.
type retrySlots struct {
	next time.Time
}

// reserve reserves the next slot and returns how long the refused caller should wait before it
// retries. If the next slot is more than maxRetryAfter away, it reserves none and returns a random
// wait between half of maxRetryAfter and maxRetryAfter. random is uniform over all values.
func (r *retrySlots) reserve(now time.Time, rate float64, queued int, random uint64) time.Duration {
	gap := defaultRetryInterval
	earliest := minRetryAfter
	if rate > 0 {
		gap = time.Duration(float64(time.Second) / (rate * retryRateShare))
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
