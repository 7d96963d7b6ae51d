// Package report counts service-level events over sliding windows and computes the burn rate of
// the error budget of each objective. The time is a parameter of every call. A Counter is not safe
// for concurrent use.
package report

import (
	"time"
)

// Objective names a service-level objective.
type Objective string

// The objectives.
const (
	// FirstToken events are good if the first token of a stream arrives within 1 s.
	FirstToken Objective = "first-token"
	// BetweenTokens events are good if the gap between two tokens is at most 39 ms.
	BetweenTokens Objective = "between-tokens"
	// Answers events are good if a request other than an unrepeatable write gets a complete
	// response.
	Answers Objective = "answers"
	// Writes events are good if an unrepeatable write gets the outcome ran.
	Writes Objective = "writes"
	// Configuration events are good if an accepted edit is in force within 6 s.
	Configuration Objective = "configuration"
)

// The bounds of the objectives.
const (
	FirstTokenBound    = time.Second
	BetweenTokensBound = 39 * time.Millisecond
	ConfigurationBound = 6 * time.Second
)

// Objectives lists all objectives in display order.
var Objectives = []Objective{FirstToken, BetweenTokens, Answers, Writes, Configuration}

// Target returns the fraction of the events that must be good.
func (o Objective) Target() float64 {
	switch o {
	case FirstToken, BetweenTokens:
		return 0.95
	}
	return 0.99
}

// Windows are the lengths of the sliding windows, shortest first.
var Windows = [windowCount]time.Duration{5 * time.Minute, time.Hour, 6 * time.Hour}

const windowCount = 3

// Count is a number of events. Good of them met the objective.
type Count struct {
	Good  int64 `json:"good"`
	Total int64 `json:"total"`
}

// Add adds another count.
func (c *Count) Add(other Count) {
	c.Good += other.Good
	c.Total += other.Total
}

// BurnRate returns the fraction of bad events divided by the fraction that the target allows. At a
// rate of 1 the error budget is used up exactly. It is 0 without events.
func (c Count) BurnRate(target float64) float64 {
	if c.Total == 0 {
		return 0
	}
	return float64(c.Total-c.Good) / float64(c.Total) / (1 - target)
}

// State is the alert state of an objective.
type State string

// The states, from bad to good.
const (
	// Urgent means that the burn rates over 5 min and 1 h would use up the budget of a day within
	// 2.4 hours.
	Urgent State = "urgent"
	// Burning means that the burn rates over 1 h and 6 h would use up the budget of a day within
	// 12 hours.
	Burning State = "burning"
	OK      State = "ok"
	// NoData means that there were no events in six hours.
	NoData State = "no-data"
)

// The thresholds of the states.
const (
	urgentBurnRate  = 10
	burningBurnRate = 2

	// minBadEvents is the minimum number of bad events in a window. With few requests a single
	// failure would otherwise exceed the burn rates.
	minBadEvents = 3
)

// Grade returns the state of the counts of the windows. Each alert requires the burn rate in a
// long window, so that a short spike does not raise it, and in a shorter one, so that it ends soon
// after its cause.
func Grade(windows [windowCount]Count, target float64) State {
	burn := [windowCount]float64{}
	for i, c := range windows {
		if c.Total-c.Good >= minBadEvents {
			burn[i] = c.BurnRate(target)
		}
	}
	switch {
	case windows[windowCount-1].Total == 0:
		return NoData
	case burn[0] >= urgentBurnRate && burn[1] >= urgentBurnRate:
		return Urgent
	case burn[1] >= burningBurnRate && burn[2] >= burningBurnRate:
		return Burning
	}
	return OK
}

// slidingCount approximates the count over a sliding window from two fixed periods of the window's
// length: the current one, and the previous one weighted by its fraction that is still in the
// window.
type slidingCount struct {
	period            int64
	current, previous Count
}

func (s *slidingCount) add(now time.Time, window time.Duration, c Count) {
	s.advance(now, window)
	s.current.Add(c)
}

func (s *slidingCount) read(now time.Time, window time.Duration) Count {
	s.advance(now, window)
	previousShare := 1 - float64(now.UnixNano()%int64(window))/float64(window)
	return Count{
		Good:  s.current.Good + int64(previousShare*float64(s.previous.Good)),
		Total: s.current.Total + int64(previousShare*float64(s.previous.Total)),
	}
}

// advance makes the period of now the current one.
func (s *slidingCount) advance(now time.Time, window time.Duration) {
	period := now.UnixNano() / int64(window)
	switch {
	case period <= s.period:
		return
	case period == s.period+1:
		s.previous = s.current
	default:
		s.previous = Count{}
	}
	s.current = Count{}
	s.period = period
}
