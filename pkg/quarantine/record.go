package quarantine

import "time"

const (
	// firstQuarantine is how long a part is refused until it is tried again. The time doubles with each
	// trial that crashes a server, up to maxQuarantine: a crash costs all requests of its group seconds.
	firstQuarantine, maxQuarantine = 2 * time.Minute, 4 * time.Hour
	// trialTime is how long a trial lasts, in which the part is refused to other requests.
	trialTime = 30 * time.Second
	// trialSpread spreads the times at which entries may try a part again, so that one entry begins and
	// the others hear of it.
	trialSpread = 30 * time.Second
	// recordLifetime is how long a part stays on record after the time at which it may be tried, if no
	// request has it, and releasedLifetime how long it stays after its release, so that the release
	// reaches entries that missed it.
	recordLifetime, releasedLifetime = 24 * time.Hour, time.Hour
	// shortRecordLifetime takes the place of recordLifetime for a request that has had only its first
	// quarantine: many of them ran beside another one and never come again.
	shortRecordLifetime = 2 * time.Hour
	// maxRecords bounds the parts on record.
	maxRecords = 256
)

// record is the state of a part that is or was in quarantine.
type record struct {
	part Part
	// version counts the changes of the record. Entries adopt the higher one.
	version int
	// strikes counts the quarantines, which grow longer.
	strikes  int
	released bool
	inTrial  bool
	// until is the end of the quarantine or of the trial, and trialAt when this entry may try the part.
	until, trialAt time.Time
	changedAt      time.Time
	// blame is the evidence against the part, as far as this entry has it.
	blame blame
}

// quarantineTime returns how long a part is in quarantine after a number of strikes. It doubles with each, up to
// maxQuarantine; that of a request follows requestQuarantineTime.
func quarantineTime(p Part, strikes int) time.Duration {
	if p.isRequest() {
		return requestQuarantineTime(strikes)
	}
	return min(firstQuarantine<<min(max(strikes-1, 0), 16), maxQuarantine)
}

func (r *record) quarantine(now time.Time, random float64) {
	r.strikes++
	if r.part.isRequest() {
		r.strikes = max(r.strikes, strikesAfter(len(r.blame.crashes)))
	}
	r.renew(now, random)
}

// renew begins the quarantine again without another strike.
func (r *record) renew(now time.Time, random float64) {
	r.version++
	r.released, r.inTrial, r.changedAt = false, false, now
	r.setEnd(now.Add(quarantineTime(r.part, r.strikes)), random)
}

// beginTrial refuses the part to other requests for the time of the trial. The trial of a request that has
// crashed three servers counts as failed until its result is known.
func (r *record) beginTrial(now time.Time, random float64) {
	r.version++
	r.inTrial, r.changedAt = true, now
	length := trialTime
	switch {
	case r.part.isRequest() && r.strikes > 1:
		length = quarantineTime(r.part, r.strikes)
	case r.part.isRequest():
		length = firstTrialTime
	}
	r.setEnd(now.Add(length), random)
}

func (r *record) release(now time.Time) {
	r.version++
	r.released, r.inTrial, r.changedAt = true, false, now
}

func (r *record) setEnd(until time.Time, random float64) {
	spread := trialSpread
	if r.part.isRequest() && r.strikes <= 1 {
		spread = firstTrialSpread
	}
	r.until, r.trialAt = until, until.Add(time.Duration(random*float64(spread)))
}

// expired reports whether the record can be dropped.
func (r *record) expired(now time.Time) bool {
	if r.released {
		return now.Sub(r.changedAt) > releasedLifetime
	}
	if r.part.isRequest() && r.strikes <= 1 {
		return now.Sub(r.until) > shortRecordLifetime
	}
	return now.Sub(r.until) > recordLifetime
}

// newRecord adds a record. If there are too many, it drops the one that ends first. t.mu is held.
func (t *Tracker) newRecord(p Part) *record {
	for len(t.records) >= maxRecords {
		var first *record
		for _, r := range t.records {
			if first == nil || r.until.Before(first.until) {
				first = r
			}
		}
		delete(t.records, first.part)
		t.addChange(first, Expired)
	}
	r := &record{part: p}
	t.records[p] = r
	return r
}

// expireRecords drops the records whose time is over. t.mu is held.
func (t *Tracker) expireRecords(now time.Time) {
	for p, r := range t.records {
		if r.expired(now) {
			delete(t.records, p)
			if !r.released {
				t.addChange(r, Expired)
			}
		}
	}
}

// Reason is why a record changed, as it stands in logs and metrics.
type Reason string

// The reasons for a change.
const (
	// Blamed: servers crashed under requests with the part.
	Blamed Reason = "blamed"
	// TrialBegun: one request with the part is sent to a server again.
	TrialBegun Reason = "trial-begun"
	// TrialFailed: a server crashed under the trial.
	TrialFailed Reason = "trial-failed"
	// Answered: a server answered a request with the part.
	Answered Reason = "answered"
	// Superseded: another part was there at the same crashes and at more.
	Superseded Reason = "superseded"
	// Renewed: the request still comes after all of its trials have failed.
	Renewed Reason = "renewed"
	// Lifted: an operator released the part.
	Lifted Reason = "lifted"
	// Reported: another entry has reported the change.
	Reported Reason = "reported"
	// Restored: the record was kept outside of the entries.
	Restored Reason = "restored"
	// Expired: no request has had the part for a long time, or there are too many records.
	Expired Reason = "expired"
)

// Change is a change of a record.
type Change struct {
	State
	Reason Reason
}

// addChange notes a change for Advance. t.mu is held.
func (t *Tracker) addChange(r *record, reason Reason) {
	t.changes = append(t.changes, Change{r.state(r.changedAt), reason})
	t.signal()
}

// State describes a part that is or was in quarantine.
type State struct {
	Part
	Version  int
	Strikes  int
	Released bool
	InTrial  bool
	// Left is the time until the part may be tried again.
	Left time.Duration
	// Crashes are those that the part was blamed for.
	Crashes []Crash
}

func (r *record) state(now time.Time) State {
	return State{r.part, r.version, r.strikes, r.released, r.inTrial, max(r.until.Sub(now), 0), crashesOf(r.blame.crashes)}
}

// States returns the parts in quarantine.
func (t *Tracker) States(now time.Time) []State {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []State
	for _, r := range t.records {
		if !r.released {
			list = append(list, r.state(now))
		}
	}
	return list
}

// Lift releases a part. It reports whether the part was in quarantine. Crashes before now are no longer
// evidence against it.
func (t *Tracker) Lift(now time.Time, p Part) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[p]
	if r == nil || r.released {
		return false
	}
	t.usage.recordAnswer(p, now)
	r.release(now)
	t.addChange(r, Lifted)
	return true
}

// Restore adopts a record that was kept elsewhere, without its age: the whole time of its quarantine
// begins now. A record that is known already stays as it is.
func (t *Tracker) Restore(now time.Time, p Part, version, strikes int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if old := t.records[p]; old != nil && old.version >= version || version <= 0 {
		return
	}
	t.adopt(now, State{Part: p, Version: version, Strikes: max(strikes, 1), Left: quarantineTime(p, strikes)}, Restored)
}

// adopt replaces a record by what is known elsewhere. t.mu is held.
func (t *Tracker) adopt(now time.Time, s State, reason Reason) {
	r := t.records[s.Part]
	if r == nil {
		r = t.newRecord(s.Part)
	}
	was := r.version > 0 && !r.released
	r.version, r.strikes, r.released, r.inTrial, r.changedAt = s.Version, max(r.strikes, s.Strikes), s.Released, s.InTrial, now
	r.setEnd(now.Add(s.Left), t.random())
	if s.Released {
		t.usage.recordAnswer(s.Part, now)
	} else {
		t.cancelWatches(s.Part)
		r.blame = t.assess(s.Part)
		t.releaseExplained(now, r)
	}
	if was != !s.Released {
		t.changes = append(t.changes, Change{r.state(now), reason})
	}
	t.signal()
}
