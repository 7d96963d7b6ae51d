package quarantine

import (
	"slices"
	"time"
)

const (
	// A request that no server has answered is blamed after minRequestCrashes crashes, and one that has been
	// answered before after minAnsweredCrashes, at several moments, if it was there at each crash since that
	// nothing else explains. Others that ran beside it at the same crashes are blamed as well: their first
	// trial releases them.
	minRequestCrashes  = 2
	minAnsweredCrashes = 3
	// firstRequestQuarantine is how long a request is refused that has crashed two servers. They are back by
	// then in most cases, so that its trial does not end the last one. firstTrialSpread takes the place of
	// trialSpread: a popular request that ran beside another one is soon released.
	firstRequestQuarantine = 3500 * time.Millisecond
	firstTrialSpread       = 2 * time.Second
	// firstTrialTime takes the place of trialTime after the first quarantine: the result of a trial can be lost.
	firstTrialTime = 5 * time.Second
	// A request that has crashed three servers may reach few more for as long as it comes. It is refused for
	// longRequestQuarantine, then, after each failed trial, for requestQuarantineFactor times as long, up to
	// maxRequestQuarantine.
	longRequestQuarantine   = time.Hour
	requestQuarantineFactor = 8
	maxRequestQuarantine    = 24 * time.Hour
	// maxTrialStrikes is the number of quarantines after which a request is tried again. After that it is
	// refused until it stops coming or an operator lifts it.
	maxTrialStrikes = 3
)

// requestQuarantineTime is how long a request is refused after a number of strikes.
func requestQuarantineTime(strikes int) time.Duration {
	if strikes <= 1 {
		return firstRequestQuarantine
	}
	length := longRequestQuarantine
	for range min(strikes, maxTrialStrikes+1) - 2 {
		length *= requestQuarantineFactor
	}
	return min(length, maxRequestQuarantine)
}

// strikesAfter returns the strikes of a request after a number of crashes.
func strikesAfter(crashes int) int {
	if provesCause(crashes) {
		return 2
	}
	return 1
}

// provesCause reports whether crashes under a request suffice to look for no other cause of them. Requests
// that ran beside another one are blamed as well after fewer crashes.
func provesCause(crashes int) bool { return crashes > minRequestCrashes }

// trialsUsed reports whether the part is not tried again.
func (r *record) trialsUsed() bool { return r.part.isRequest() && r.strikes > maxTrialStrikes }

// blamedRequests returns the requests that the evidence suffices against. One that was answered before is
// blamed only for crashes that no other request explains. t.mu is held.
func (t *Tracker) blamedRequests() []blame {
	open := t.unexplained(func(r *record) bool { return r.part.isRequest() })
	suspects := make(map[Part]bool)
	for _, c := range open {
		for p := range c.suspects {
			if p.isRequest() && !t.inQuarantine(p) {
				suspects[p] = true
			}
		}
	}
	var result, answeredBefore []blame
	for _, p := range sortedParts(suspects) {
		b := t.assess(p)
		if _, answered := t.usage.lastAnswer(p); answered && t.strikesElsewhere(p) == 0 {
			answeredBefore = append(answeredBefore, b)
		} else if len(b.crashes) >= minRequestCrashes || len(b.crashes) > 0 && t.strikesElsewhere(p) > 0 {
			result = append(result, b)
			open = unexplainedBy(p, open)
		}
	}
	for _, b := range answeredBefore {
		isOpen := func(c *crash) bool { return slices.Contains(open, c) }
		if len(b.crashes) >= minAnsweredCrashes && b.moments >= minMoments && slices.ContainsFunc(b.crashes, isOpen) && thereAtAll(b, open) {
			result = append(result, b)
		}
	}
	return result
}

// thereAtAll reports whether a request was there at all open crashes of its service since its first one.
func thereAtAll(b blame, open []*crash) bool {
	return !slices.ContainsFunc(unexplainedBy(b.part, open), func(c *crash) bool {
		return c.Service == b.part.Service && !c.At.Before(b.crashes[0].At)
	})
}

// strikesElsewhere returns the strikes of the same request at another service where it is in quarantine: its
// route may have moved. It returns 0 if there is none. t.mu is held.
func (t *Tracker) strikesElsewhere(p Part) int {
	strikes := 0
	for other, r := range t.records {
		if other.ID == p.ID && other.Service != p.Service && !r.released {
			strikes = max(strikes, r.strikes)
		}
	}
	return strikes
}

// extendShortQuarantine extends the first quarantine of a request that has crashed further servers, through
// entries that had not heard of it. t.mu is held.
func (t *Tracker) extendShortQuarantine(now time.Time, p Part) {
	r := t.records[p]
	if !p.isRequest() || r == nil || r.released || r.strikes > 1 {
		return
	}
	answeredAt, _ := t.usage.lastAnswer(p)
	if crashes := t.crashesSince(p, answeredAt); provesCause(len(crashes)) {
		r.blame.crashes = crashes
		r.quarantine(now, t.random())
		t.addChange(r, Blamed)
	}
}
