package quarantine

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// evidenceLifetime is how long a crash is used as evidence.
	evidenceLifetime = 10 * time.Minute
	// maxCrashes bounds the crashes that are kept, and maxSuspects the parts that are kept of one.
	maxCrashes, maxSuspects = 64, 64
	// momentGap separates two moments of crashes. Servers that end within it can have a cause in common,
	// such as a lost rack, and count once: entries notice the same loss at times that differ by less.
	momentGap = 250 * time.Millisecond
	// A part is blamed if it was there at minMoments moments since it was last answered and the evidence
	// reaches minEvidence, or minEvidenceAnswered if it has been answered before. Evidence is the natural
	// logarithm of how unlikely the observations are for a part that is not to blame. Some ten parts are
	// there at each crash, and each entry judges them by the requests that it has seen itself.
	minMoments                       = 2
	minEvidence, minEvidenceAnswered = 6, 10
	// A part that has never been answered is blamed with some evidence if it was there at severalMoments
	// moments, and without any at sufficientMoments, unless it is in nearly all requests.
	severalMoments, someEvidence = 3, 4.5
	sufficientMoments            = 4
	maxShare                     = 0.9
	// crashesPerMoment is the number of crashes that count like a moment if the part was there at every
	// crash since the first of them. A lost rack has other servers as well.
	crashesPerMoment = 2
	// objectionWindow is the time from the last evidence against a part to its quarantine, in which
	// other entries can report that it has been answered. It is twice maxObjectionDelay and leaves time
	// for the messages.
	objectionWindow   = 500 * time.Millisecond
	maxObjectionDelay = 150 * time.Millisecond
)

// Crash is the end of one incarnation of a server.
type Crash struct {
	Service, Server string
	Incarnation     int64
	// At is when the end was noticed.
	At time.Time
}

// crash is a crash with the parts that requests had at the server, and what each says.
type crash struct {
	Crash
	suspects map[Part]suspect
	// learnedAt is when this entry learned of the crash. announceAt is when it tells the others what it
	// has seen of it itself; zero if there is nothing to tell.
	learnedAt, announceAt time.Time
}

// suspect is what a crash says about a part.
type suspect struct {
	// depth is the position of the part in the prompt. Later parts are more specific.
	depth int
	// begun is true if the server had begun to answer a request with the part.
	begun bool
	// own is true if a request of this entry had the part.
	own bool
}

// RecordCrash records that a server ended while it had a request with the given parts, in their order.
// begun is true if it had begun to answer that request.
func (t *Tracker) RecordCrash(now time.Time, c Crash, ids []string, begun bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	suspects := make(map[Part]suspect)
	for depth, p := range partsOf(c.Service, ids) {
		suspects[p] = suspect{depth: depth, begun: begun, own: true}
	}
	known := t.mergeCrash(now, c, suspects)
	known.announceAt = now.Add(announceDelay)
	t.conclude(now)
	t.signal()
}

// mergeCrash adds what is known about a crash. Several entries report the same crash. t.mu is held.
func (t *Tracker) mergeCrash(now time.Time, c Crash, suspects map[Part]suspect) *crash {
	known := t.findCrash(c)
	if known == nil {
		known = &crash{Crash: c, suspects: make(map[Part]suspect), learnedAt: now}
		t.crashes = append(t.crashes, known)
	}
	if c.At.Before(known.At) {
		known.At = c.At
	}
	changed := false
	for _, p := range sortedParts(suspects) {
		s := suspects[p]
		old, found := known.suspects[p]
		if !found && len(known.suspects) >= maxSuspects {
			continue
		}
		if !found {
			t.extendTrial(now, p)
		}
		merged := suspect{max(s.depth, old.depth), s.begun || old.begun, s.own || old.own}
		if !found || merged != old {
			known.suspects[p], changed = merged, true
			t.scheduleObjection(now, p)
			t.extendShortQuarantine(now, p)
		}
	}
	if !changed {
		return known
	}
	t.evidenceChanged = true
	slices.SortFunc(t.crashes, func(a, b *crash) int { return a.At.Compare(b.At) })
	t.crashes = t.crashes[max(len(t.crashes)-maxCrashes, 0):]
	return known
}

// sortedParts returns the keys of a map in a fixed order, so that the same events have the same results.
func sortedParts[V any](m map[Part]V) []Part {
	return slices.SortedFunc(maps.Keys(m), func(a, b Part) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.ID, b.ID))
	})
}

func (t *Tracker) findCrash(c Crash) *crash {
	for _, known := range t.crashes {
		if known.is(c) {
			return known
		}
	}
	return nil
}

// extendTrial quarantines a part again if it was there at a crash after its quarantine had ended: its trial
// has failed. t.mu is held.
func (t *Tracker) extendTrial(now time.Time, p Part) {
	if r := t.records[p]; r != nil && !r.released && (r.inTrial || !now.Before(r.until)) {
		r.quarantine(now, t.random())
		t.addChange(r, TrialFailed)
	}
}

// crashesSince returns the crashes, later than a time, at which a part was there. t.mu is held.
func (t *Tracker) crashesSince(p Part, since time.Time) []*crash {
	var list []*crash
	for _, c := range t.crashes {
		if _, there := c.suspects[p]; there && c.At.After(since) {
			list = append(list, c)
		}
	}
	return list
}

// unexplained returns the crashes at which nothing in quarantine was there, of what explains accepts. t.mu is
// held.
func (t *Tracker) unexplained(explains func(*record) bool) []*crash {
	var open []*crash
	for _, c := range t.crashes {
		explained := false
		for p := range c.suspects {
			explained = explained || t.inQuarantine(p) && explains(t.records[p])
		}
		if !explained {
			open = append(open, c)
		}
	}
	return open
}

// inQuarantine reports whether a part is in quarantine. t.mu is held.
func (t *Tracker) inQuarantine(p Part) bool {
	r := t.records[p]
	return r != nil && !r.released
}

// is reports whether two crashes are the same one.
func (c Crash) is(other Crash) bool {
	return c.Service == other.Service && c.Server == other.Server && c.Incarnation == other.Incarnation
}

// moments returns the number of moments of crashes, which are in the order of their times.
func moments(list []Crash) int {
	n := 0
	var began time.Time
	for _, c := range list {
		if n == 0 || c.At.Sub(began) >= momentGap {
			began = c.At
			n++
		}
	}
	return n
}

// crashesOf returns crashes without their suspects.
func crashesOf(list []*crash) []Crash {
	crashes := make([]Crash, len(list))
	for i, c := range list {
		crashes[i] = c.Crash
	}
	return crashes
}

// blame is the evidence against a part.
type blame struct {
	part    Part
	crashes []*crash
	moments int
	// begun is the number of the crashes at which the server had begun to answer a request with the part.
	begun    int
	depth    int
	evidence float64
}

// compare orders the evidence by its strength. Of two parts that were there at the same crashes, the more
// specific one is to blame: the other one is also in prompts that were answered, or will be.
func (b blame) compare(other blame) int {
	return cmp.Or(
		cmp.Compare(b.moments, other.moments), cmp.Compare(b.begun, other.begun),
		cmp.Compare(b.depth, other.depth), cmp.Compare(b.evidence, other.evidence), cmp.Compare(b.part.ID, other.part.ID))
}

// blamed returns the parts that the evidence suffices against, each with the crashes that it explains and
// that no stronger one explains. t.mu is held.
func (t *Tracker) blamed(now time.Time) []blame {
	t.crashes = slices.DeleteFunc(t.crashes, func(c *crash) bool { return now.Sub(c.At) > evidenceLifetime })
	result := t.blamedRequests()
	open := t.unexplained(func(r *record) bool { return !r.part.isRequest() || provesCause(len(r.blame.crashes)) })
	for _, b := range result {
		if provesCause(len(b.crashes)) {
			open = unexplainedBy(b.part, open)
		}
	}
	for {
		strongest, found := t.strongest(open)
		if !found {
			return result
		}
		result = append(result, strongest)
		open = unexplainedBy(strongest.part, open)
	}
}

// unexplainedBy returns the crashes at which a part was not there.
func unexplainedBy(p Part, crashes []*crash) []*crash {
	return slices.DeleteFunc(slices.Clone(crashes), func(c *crash) bool {
		_, there := c.suspects[p]
		return there
	})
}

// strongest returns the part with the strongest evidence that suffices. It must have been there at one of
// the open crashes, which no other part explains; the other crashes count as well, because the parts that
// explain them may have been blamed wrongly. t.mu is held.
func (t *Tracker) strongest(open []*crash) (blame, bool) {
	var best blame
	found := false
	tried := make(map[Part]bool)
	for _, c := range open {
		for _, p := range sortedParts(c.suspects) {
			if tried[p] || p.isRequest() {
				continue
			}
			tried[p] = true
			if b, ok := t.judge(p, open); ok && (!found || b.compare(best) > 0) {
				best, found = b, true
			}
		}
	}
	return best, found
}

// judge returns the evidence against a part, and whether it suffices. t.mu is held.
func (t *Tracker) judge(p Part, open []*crash) (blame, bool) {
	b := t.assess(p)
	isOpen := func(c *crash) bool { return slices.Contains(open, c) }
	if !slices.ContainsFunc(b.crashes, isOpen) {
		return b, false
	}
	if explainsAll(b.crashes, open) {
		b.moments = max(b.moments, len(b.crashes)/crashesPerMoment)
	}
	_, answered := t.usage.lastAnswer(p)
	switch {
	case b.moments < minMoments:
		return b, false
	case answered:
		return b, b.evidence >= minEvidenceAnswered
	case b.moments >= sufficientMoments:
		return b, t.usage.share(p) < maxShare
	case b.moments >= severalMoments:
		return b, b.evidence >= someEvidence
	default:
		return b, b.evidence >= minEvidence
	}
}

// assess returns the evidence against a part since it was last answered. t.mu is held.
func (t *Tracker) assess(p Part) blame {
	answeredAt, _ := t.usage.lastAnswer(p)
	b := blame{part: p, crashes: t.crashesSince(p, answeredAt)}
	b.moments = moments(crashesOf(b.crashes))
	share := t.usage.share(p)
	b.evidence = -math.Log1p(-share) * float64(t.usage.answersSince(p.Service, answeredAt))
	for _, c := range b.crashes {
		s := c.suspects[p]
		b.depth = max(b.depth, s.depth)
		others := c.partCount(s.begun)
		if s.begun {
			b.begun++
		}
		b.evidence -= math.Log(1 - math.Pow(1-share, float64(others)))
	}
	return b
}

// partCount returns the number of parts of the requests that the server had, or of those that it had begun to
// answer.
func (c *crash) partCount(begunOnly bool) int {
	n := 0
	for p, s := range c.suspects {
		if !p.isRequest() && (s.begun || !begunOnly) {
			n++
		}
	}
	return n
}

// explainsAll reports whether crashes holds all of the open crashes of its service since its first one.
func explainsAll(crashes, open []*crash) bool {
	n := 0
	for _, c := range open {
		if c.Service == crashes[0].Service && !c.At.Before(crashes[0].At) {
			n++
		}
	}
	return n == len(crashes)
}

// conclude compares the suspected parts with the evidence, and quarantines those that no entry has
// objected to. t.mu is held.
func (t *Tracker) conclude(now time.Time) {
	if !t.evidenceChanged && len(t.suspected) == 0 {
		return
	}
	t.evidenceChanged = false
	blamed := t.blamed(now)
	suspected := make(map[Part]time.Time, len(blamed))
	for _, b := range blamed {
		since, known := t.suspected[b.part]
		if !known {
			since = now
			t.signal() // Advance is to be called at the end of the window
		}
		if now.Sub(since) < objectionWindow {
			suspected[b.part] = since
			continue
		}
		r := t.records[b.part]
		if r == nil {
			r = t.newRecord(b.part)
		}
		r.blame = b
		if b.part.isRequest() {
			r.strikes = max(r.strikes, t.strikesElsewhere(b.part)-1)
		}
		r.quarantine(now, t.random())
		t.addChange(r, Blamed)
		t.cancelWatches(b.part)
		t.releaseExplained(now, r)
	}
	t.suspected = suspected
}

// releaseExplained releases the parts that were blamed instead of another one: servers still crashed with
// that one after they were refused, and it leaves too few of their crashes unexplained. t.mu is held.
func (t *Tracker) releaseExplained(now time.Time, by *record) {
	for _, p := range sortedParts(t.records) {
		r := t.records[p]
		if r == by || r.released || len(r.blame.crashes) == 0 || p.Service != by.part.Service {
			continue
		}
		without := func(c *crash) bool {
			_, there := c.suspects[p]
			return !there && c.At.After(r.changedAt)
		}
		left := slices.DeleteFunc(slices.Clone(r.blame.crashes), func(c *crash) bool { return slices.Contains(by.blame.crashes, c) })
		if slices.ContainsFunc(by.blame.crashes, without) && !suffice(p, left) {
			r.release(now)
			t.addChange(r, Superseded)
		}
	}
}

// suffice reports whether crashes can be evidence against a part at all.
func suffice(p Part, crashes []*crash) bool {
	if p.isRequest() {
		return len(crashes) >= minRequestCrashes
	}
	return moments(crashesOf(crashes)) >= minMoments
}
