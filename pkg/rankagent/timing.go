package rankagent

import "time"

// minTimedPasses is the least number of passes over which the time of a pass is measured. An
// observation counts whole passes only, so the result would be inaccurate over fewer.
const minTimedPasses = 3

// passTimer measures the time of a pass of a group.
type passTimer struct {
	// passTime is the time of one pass; 0 until it is known.
	passTime time.Duration
	step     int64
	at       time.Time
}

// observe records the number of the last pass begun, as read at the time now.
func (p *passTimer) observe(now time.Time, step int64) {
	passes := step - p.step
	if p.at.IsZero() || passes < 0 {
		p.step, p.at = step, now
		return
	}
	if passes >= minTimedPasses {
		p.passTime = now.Sub(p.at) / time.Duration(passes)
		p.step, p.at = step, now
	}
}

// initialArmingTime is the estimate before the first switch.
const initialArmingTime = 100 * time.Millisecond

// armingEstimate predicts how long it takes to arm all ranks. It rises at once after a slow switch,
// which is what unanswered orders cause, and falls by at most a quarter with each faster one.
type armingEstimate struct{ expected time.Duration }

func (a *armingEstimate) current() time.Duration {
	if a.expected == 0 {
		return initialArmingTime
	}
	return a.expected
}

func (a *armingEstimate) observe(d time.Duration) { a.expected = max(d, a.current()*3/4) }
