// Package report counts service-level events over sliding windows and computes
// how fast the error budget of each objective burns. It has no clock: the
// caller passes the time. A Counter is not safe for concurrent use.
package report

import (
	"time"
)

// Objective names a service-level objective.
type Objective string

// The objectives.
const (
	// FirstToken: the first token of a stream within 1 s.
	FirstToken Objective = "first-token"
	// BetweenTokens: at most 39 ms between two tokens.
	BetweenTokens Objective = "between-tokens"
	// Answers: a whole answer to a request that is not an unrepeatable write.
	Answers Objective = "answers"
	// Writes: an unrepeatable write answered with its outcome ran.
	Writes Objective = "writes"
	// Configuration: an accepted edit in force within 6 s.
	Configuration Objective = "configuration"
)

// The bounds of the objectives.
const (
	FirstTokenBound    = time.Second
	BetweenTokensBound = 39 * time.Millisecond
	ConfigurationBound = 6 * time.Second
)

// Objectives lists all of them in the order of display.
var Objectives = []Objective{FirstToken, BetweenTokens, Answers, Writes, Configuration}

// Target returns the part of the events that must be good.
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

// Count is a number of events, Good of them within the objective.
type Count struct {
	Good  int64 `json:"good"`
	Total int64 `json:"total"`
}

// Add adds another count.
func (c *Count) Add(other Count) {
	c.Good += other.Good
	c.Total += other.Total
}

// BurnRate returns how many times faster than allowed the error budget burns: 1
// uses it up exactly. It is 0 without events.
func (c Count) BurnRate(target float64) float64 {
	if c.Total == 0 {
		return 0
	}
	return float64(c.Total-c.Good) / float64(c.Total) / (1 - target)
}

// State grades an objective.
type State string

// The states, from bad to good.
const (
	// Urgent: at this rate a day's budget is gone within 2.4 hours, in the short
	// window and in the hour.
	Urgent State = "urgent"
	// Burning: at this rate a day's budget is gone within 12 hours, in the hour
	// and in six hours.
	Burning State = "burning"
	OK      State = "ok"
	// NoData: nothing happened in six hours.
	NoData State = "no-data"
)

// The burn rates from which a state holds.
const (
	urgentBurn  = 10
	burningBurn = 2

	// minBad is the number of bad events in a window that raises a state: one
	// lost answer in a quiet night does not.
	minBad = 3
)

// Grade returns the state of the counts of the windows. A state needs a long
// window, so that a short spike does not raise it, and a shorter one, so that
// it ends soon after the cause has.
func Grade(windows [windowCount]Count, target float64) State {
	burn := [windowCount]float64{}
	for i, c := range windows {
		if c.Total-c.Good >= minBad {
			burn[i] = c.BurnRate(target)
		}
	}
	switch {
	case windows[windowCount-1].Total == 0:
		return NoData
	case burn[0] >= urgentBurn && burn[1] >= urgentBurn:
		return Urgent
	case burn[1] >= burningBurn && burn[2] >= burningBurn:
		return Burning
	}
	return OK
}

// sliding counts events over one window. It keeps the present and the previous
// period and weighs the previous one by the part that is still in the window.
type sliding struct {
	period            int64
	present, previous Count
}

func (s *sliding) add(now time.Time, window time.Duration, c Count) {
	s.roll(now, window)
	s.present.Add(c)
}

func (s *sliding) read(now time.Time, window time.Duration) Count {
	s.roll(now, window)
	left := 1 - float64(now.UnixNano()%int64(window))/float64(window)
	return Count{
		Good:  s.present.Good + int64(left*float64(s.previous.Good)),
		Total: s.present.Total + int64(left*float64(s.previous.Total)),
	}
}

func (s *sliding) roll(now time.Time, window time.Duration) {
	period := now.UnixNano() / int64(window)
	switch {
	case period <= s.period:
		return
	case period == s.period+1:
		s.previous = s.present
	default:
		s.previous = Count{}
	}
	s.present = Count{}
	s.period = period
}
