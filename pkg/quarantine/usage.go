package quarantine

import "time"

const (
	// usageWindow is the length of a window of counts. The counts cover the current window and the one
	// before it.
	usageWindow = 30 * time.Second
	// maxPartsPerWindow bounds the parts that are counted in one window, and maxAnswersPerGeneration those
	// in one generation of answers: about 1 MB each.
	maxPartsPerWindow, maxAnswersPerGeneration = 8 << 10, 8 << 10
	// maxRequestsPerGeneration bounds the fingerprints in one generation of answers: about 0.5 MB.
	maxRequestsPerGeneration = 4 << 10
)

// usage remembers how often this entry gets requests with a part, and when parts were last answered by
// any entry. Its size is bounded.
type usage struct {
	windowBegan       time.Time
	current, previous window
	// parts and requests hold when parts and whole requests were last answered. Most requests come only
	// once, so that those would displace the parts.
	parts, requests answers
}

// answers holds the times of last answers in two generations, so that what is in use is not forgotten.
type answers struct {
	max               int
	current, previous map[Part]time.Time
}

func newAnswers(max int) answers {
	return answers{max, make(map[Part]time.Time), make(map[Part]time.Time)}
}

// record records an answer, as far as it is not known yet.
func (a *answers) record(p Part, at time.Time) {
	if !at.After(a.current[p]) {
		return
	}
	a.current[p] = at
	if len(a.current) >= a.max {
		a.previous, a.current = a.current, make(map[Part]time.Time)
	}
}

// last returns the time of the last answer, and false if that is not known.
func (a *answers) last(p Part) (time.Time, bool) {
	at := a.current[p]
	if before := a.previous[p]; before.After(at) {
		at = before
	}
	return at, !at.IsZero()
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
	return usage{current: newWindow(), previous: newWindow(), parts: newAnswers(maxAnswersPerGeneration), requests: newAnswers(maxRequestsPerGeneration)}
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

// recordRequest counts a request with parts. Fingerprints are not counted.
func (u *usage) recordRequest(now time.Time, service string, parts []Part) {
	u.advance(now)
	u.current.all[service]++
	for _, p := range parts {
		if _, known := u.current.requests[p]; known || len(u.current.requests) < maxPartsPerWindow {
			u.current.requests[p]++
		}
	}
}

// recordOwnAnswer records that a request of this entry was answered. The answers of requests without parts
// are not counted.
func (u *usage) recordOwnAnswer(now time.Time, service string, parts []Part) {
	u.advance(now)
	if !parts[0].isRequest() {
		u.current.answers[service] = append(u.current.answers[service], now)
	}
	for _, p := range parts {
		u.recordAnswer(p, now)
	}
}

// recordAnswer records that a part was answered, as far as it is not known yet.
func (u *usage) recordAnswer(p Part, at time.Time) { u.answers(p).record(p, at) }

func (u *usage) answers(p Part) *answers {
	if p.isRequest() {
		return &u.requests
	}
	return &u.parts
}

// lastAnswer returns when a part was last answered, and false if that is not known.
func (u *usage) lastAnswer(p Part) (time.Time, bool) { return u.answers(p).last(p) }

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
