package rankagent

import "time"

// pacePasses is the number of passes over which their time is measured: a look
// sees whole passes only.
const pacePasses = 3

// pace measures how long a group's passes take.
type pace struct {
	// pass is the time of a pass; 0 until it is known.
	pass time.Duration
	step int64
	at   time.Time
}

// look takes the last pass that was begun, as seen at a time.
func (p *pace) look(now time.Time, step int64) {
	passes := step - p.step
	if p.at.IsZero() || passes < 0 {
		p.step, p.at = step, now
		return
	}
	if passes >= pacePasses {
		p.pass = now.Sub(p.at) / time.Duration(passes)
		p.step, p.at = step, now
	}
}

// firstArming is the time that arming all ranks is expected to take at first.
const firstArming = 100 * time.Millisecond

// arming expects how long it takes until all ranks are armed. It rises at once
// where orders go unanswered, and falls by a quarter with each switch.
type arming struct{ expected time.Duration }

func (a *arming) time() time.Duration {
	if a.expected == 0 {
		return firstArming
	}
	return a.expected
}

func (a *arming) took(d time.Duration) { a.expected = max(d, a.time()*3/4) }
