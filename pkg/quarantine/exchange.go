package quarantine

import "time"

const (
	// announceDelay gathers what several requests say about the same crash into one message.
	announceDelay = 20 * time.Millisecond
	// repeatTime is how long the periodic messages of an entry repeat what it has seen of a crash itself,
	// which makes up for lost messages.
	repeatTime = 3 * time.Second
	// maxPeriodicCrashes and maxPeriodicStates bound the periodic messages: 2 KB.
	maxPeriodicCrashes, maxPeriodicStates = 4, 16
	// maxMessageItems bounds what is read of one list of a message.
	maxMessageItems = 128
	// answerSlack is by how much an answer must be later than one that was told already to be told as well.
	answerSlack = time.Second
	// maxVersion bounds the version of a record: each change raises it by one.
	maxVersion = 1 << 30
	// maxWait is the time after which Advance is called at the latest.
	maxWait = 10 * time.Second
)

// Message is what entries tell each other. Times are ages, because clocks differ.
type Message struct {
	Crashes  []CrashReport  `json:"c,omitempty"`
	Answered []AnswerReport `json:"a,omitempty"`
	States   []StateReport  `json:"s,omitempty"`
}

// Empty reports whether the message says nothing.
func (m Message) Empty() bool { return len(m.Crashes)+len(m.Answered)+len(m.States) == 0 }

// CrashReport is a crash with the parts that requests had at the server.
type CrashReport struct {
	_               struct{} `cbor:",toarray"`
	Service, Server string
	Incarnation     int64
	AgeMilliseconds int64
	Suspects        []SuspectReport
}

// SuspectReport is what a crash says about a part.
type SuspectReport struct {
	_     struct{} `cbor:",toarray"`
	Part  string
	Depth int
	Begun bool
}

// AnswerReport is the age of the last answer to a part.
type AnswerReport struct {
	_               struct{} `cbor:",toarray"`
	Service, Part   string
	AgeMilliseconds int64
}

// StateReport is the state of a part that is or was in quarantine.
type StateReport struct {
	_                 struct{} `cbor:",toarray"`
	Service, Part     string
	Version, Strikes  int
	Released, InTrial bool
	LeftMilliseconds  int64
}

// Advance concludes from the evidence. It returns what is to be sent to all other entries now, the
// changes since the last call, and the time until the next call unless Wake asks for one earlier.
func (t *Tracker) Advance(now time.Time) (Message, []Change, time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.conclude(now)
	t.expireRecords(now)
	var m Message
	next := now.Add(maxWait)
	for _, c := range t.crashes {
		switch {
		case c.announceAt.IsZero():
		case now.Before(c.announceAt):
			next = earlier(next, c.announceAt)
		default:
			c.announceAt = time.Time{}
			m.Crashes = append(m.Crashes, c.report(now))
		}
	}
	for _, p := range sortedParts(t.objections) {
		due := t.objections[p]
		if now.Before(due) {
			next = earlier(next, due)
			continue
		}
		delete(t.objections, p)
		if at, ok := t.usage.lastAnswer(p); ok && !t.toldBy(p, at, due.Add(-maxObjectionDelay)) {
			t.told[p] = toldAnswer{at, now}
			m.Answered = append(m.Answered, AnswerReport{Service: p.Service, Part: p.ID, AgeMilliseconds: now.Sub(at).Milliseconds()})
		}
	}
	for _, since := range t.suspected {
		next = earlier(next, since.Add(objectionWindow))
	}
	changes := t.changes
	t.changes = nil
	for _, c := range changes {
		if r := t.records[c.Part]; r != nil && c.Reason != Reported && c.Reason != Restored && c.Reason != Expired {
			m.States = append(m.States, r.report(now))
		}
	}
	t.forgetTold()
	return m, changes, next.Sub(now)
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// forgetTold drops the answers that were told of parts that are no longer suspects. t.mu is held.
func (t *Tracker) forgetTold() {
	if len(t.crashes) == 0 {
		clear(t.told)
	}
}

// Periodic returns what the periodic messages of an entry repeat; an empty message in quiet times.
func (t *Tracker) Periodic(now time.Time) Message {
	t.mu.Lock()
	defer t.mu.Unlock()
	var m Message
	for i := len(t.crashes) - 1; i >= 0 && len(m.Crashes) < maxPeriodicCrashes; i-- {
		if r := t.crashes[i].report(now); len(r.Suspects) > 0 && now.Sub(t.crashes[i].learnedAt) < repeatTime {
			m.Crashes = append(m.Crashes, r)
		}
	}
	for _, r := range t.records { // the order of a map is random, so that all records have their turn
		if len(m.States) >= maxPeriodicStates {
			break
		}
		m.States = append(m.States, r.report(now))
	}
	return m
}

// Merge adopts what another entry has told.
func (t *Tracker) Merge(now time.Time, m Message) {
	if m.Empty() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, a := range m.Answered[:min(len(m.Answered), maxMessageItems)] {
		p, at := Part{a.Service, shortID(a.Part)}, now.Add(-age(a.AgeMilliseconds))
		t.usage.recordAnswer(p, at)
		t.told[p] = toldAnswer{at, now}
	}
	for _, c := range m.Crashes[:min(len(m.Crashes), maxMessageItems)] {
		suspects := make(map[Part]suspect)
		for _, s := range c.Suspects[:min(len(c.Suspects), maxSuspects)] {
			suspects[Part{c.Service, shortID(s.Part)}] = suspect{depth: min(max(s.Depth, 0), maxPartsPerPrompt), begun: s.Begun}
		}
		if a := age(c.AgeMilliseconds); a < evidenceLifetime {
			t.mergeCrash(now, Crash{c.Service, c.Server, c.Incarnation, now.Add(-a)}, suspects)
		}
	}
	for _, s := range m.States[:min(len(m.States), maxMessageItems)] {
		t.mergeState(now, s)
	}
	t.conclude(now)
}

// mergeState adopts a state that is newer than the known one. Of two states with the same version the
// release counts: it follows from an answer. t.mu is held.
func (t *Tracker) mergeState(now time.Time, s StateReport) {
	p := Part{s.Service, shortID(s.Part)}
	r := t.records[p]
	if s.Version <= 0 || s.Version > maxVersion || r != nil && (r.version > s.Version || r.version == s.Version && (r.released || !s.Released)) || r == nil && s.Released {
		return
	}
	left := age(s.LeftMilliseconds)
	t.adopt(now, State{Part: p, Version: s.Version, Strikes: s.Strikes, Released: s.Released, InTrial: s.InTrial, Left: left}, Reported)
}

// age returns an age or a time left from a message, within its bounds.
func age(milliseconds int64) time.Duration {
	return time.Duration(min(max(milliseconds, 0), maxRequestQuarantine.Milliseconds())) * time.Millisecond
}

// toldAnswer is an answer that an entry has told the others, and when.
type toldAnswer struct{ answeredAt, toldAt time.Time }

// toldBy reports whether an entry has told, since a time, of an answer that is as good as the given one.
// t.mu is held.
func (t *Tracker) toldBy(p Part, answeredAt, since time.Time) bool {
	told := t.told[p]
	return !told.toldAt.Before(since) && answeredAt.Sub(told.answeredAt) <= answerSlack
}

// scheduleObjection lets this entry tell the others that it knows an answer to a suspect part, after a
// random delay: if another entry does so first, this one has no need to. t.mu is held.
func (t *Tracker) scheduleObjection(now time.Time, p Part) {
	if _, due := t.objections[p]; due {
		return
	}
	if _, answered := t.usage.lastAnswer(p); answered {
		t.objections[p] = now.Add(time.Duration(t.random() * float64(maxObjectionDelay)))
		t.signal()
	}
}

// report returns what this entry has seen of a crash itself.
func (c *crash) report(now time.Time) CrashReport {
	r := CrashReport{Service: c.Service, Server: c.Server, Incarnation: c.Incarnation, AgeMilliseconds: now.Sub(c.At).Milliseconds()}
	for _, p := range sortedParts(c.suspects) {
		if s := c.suspects[p]; s.own {
			r.Suspects = append(r.Suspects, SuspectReport{Part: p.ID, Depth: c.suspects[p].depth, Begun: c.suspects[p].begun})
		}
	}
	return r
}

func (r *record) report(now time.Time) StateReport {
	return StateReport{
		Service: r.part.Service, Part: r.part.ID, Version: r.version, Strikes: r.strikes, Released: r.released, InTrial: r.inTrial,
		LeftMilliseconds: max(r.until.Sub(now), 0).Milliseconds(),
	}
}
