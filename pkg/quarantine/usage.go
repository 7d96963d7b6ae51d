package quarantine

import "time"

const (
	// usageWindow is the length of a window of counts. The counts cover the current window and the one
	// before it.
	usageWindow = 30 * time.Second
	// maxPartsPerWindow bounds the parts that are counted in one window, and maxAnswersPerGeneration those
	// in one generation of answers: about 1 MB each.
	maxPartsPerWindow, maxAnswersPerGeneration = 8 << 10, 8 << 10
)

// usage remembers how often this entry gets requests with a part, and when parts were last answered by
// any entry. Its size is bounded.
type usage struct {
	windowBegan       time.Time
	current, previous window
	// answered and answeredBefore are two generations of the times of last answers, so that parts that
	// are in use are not forgotten.
	answered, answeredBefore map[Part]time.Time
}

// window holds the counts of one window.
type window struct {
	requests map[Part]int
	// all counts the requests of a service that have parts, and answers those of them that were answered,
	// in the order of their times.
	all     map[string]int
	answers map[string][]time.Time
}

func newWindow() window {
	return window{make(map[Part]int), make(map[string]int), make(map[string][]time.Time)}
}

func newUsage() usage {
	return usage{current: newWindow(), previous: newWindow(), answered: make(map[Part]time.Time), answeredBefore: make(map[Part]time.Time)}
}

// advance begins a new window if the current one is over.
func (u *usage) advance(now time.Time) {
	switch age := now.Sub(u.windowBegan); {
	case age < usageWindow:
		return
	case age < 2*usageWindow:
		u.previous = u.current
	default:
		u.previous = newWindow()
	}
	u.current, u.windowBegan = newWindow(), now
}

func (u *usage) recordRequest(now time.Time, service string, parts []Part) {
	u.advance(now)
	u.current.all[service]++
	for _, p := range parts {
		if _, known := u.current.requests[p]; known || len(u.current.requests) < maxPartsPerWindow {
			u.current.requests[p]++
		}
	}
}

// recordOwnAnswer records that a request of this entry was answered.
func (u *usage) recordOwnAnswer(now time.Time, service string, parts []Part) {
	u.advance(now)
	u.current.answers[service] = append(u.current.answers[service], now)
	for _, p := range parts {
		u.recordAnswer(p, now)
	}
}

// recordAnswer records that a part was answered, as far as it is not known yet.
func (u *usage) recordAnswer(p Part, at time.Time) {
	if !at.After(u.answered[p]) {
		return
	}
	u.answered[p] = at
	if len(u.answered) >= maxAnswersPerGeneration {
		u.answeredBefore, u.answered = u.answered, make(map[Part]time.Time)
	}
}

// lastAnswer returns when a part was last answered, and false if that is not known.
func (u *usage) lastAnswer(p Part) (time.Time, bool) {
	at := u.answered[p]
	if before := u.answeredBefore[p]; before.After(at) {
		at = before
	}
	return at, !at.IsZero()
}

const (
	// unseenRequests is added to the requests with a part, because each entry sees only some of all
	// requests: its share is not taken for lower than it is.
	unseenRequests = 2
	// maxKnownShare bounds the share: a part in all requests so far may be missing in the next one.
	maxKnownShare = 0.99
)

// share returns the share of a service's requests that have a part, at most maxKnownShare.
func (u *usage) share(p Part) float64 {
	all := u.current.all[p.Service] + u.previous.all[p.Service]
	with := u.current.requests[p] + u.previous.requests[p]
	return min(float64(with+unseenRequests)/float64(all+unseenRequests), maxKnownShare)
}

// answersSince returns the number of requests of a service that this entry knows to be answered after a
// time, as far as the windows reach.
func (u *usage) answersSince(service string, since time.Time) int {
	n := 0
	for _, times := range [][]time.Time{u.previous.answers[service], u.current.answers[service]} {
		for i := len(times) - 1; i >= 0 && times[i].After(since); i-- {
			n++
		}
	}
	return n
}
