package ratelimit

import "time"

const (
	// maxPeriodicReports bounds the periodic messages: 3 KB.
	maxPeriodicReports = 64
	// maxMessageItems bounds what is read of one list of a message.
	maxMessageItems = 256
	// repeatEndTime is how long the periodic messages repeat that a limit has ended.
	repeatEndTime = 5 * time.Second
	// wrongGranterPause is the time after which a permit may be asked for again if the entry that was asked
	// does not take itself for the one that grants them.
	wrongGranterPause = 100 * time.Millisecond
	// maxAge bounds the ages in messages.
	maxAge = 10 * time.Minute
)

// Message is what entries tell each other. Times are ages, because clocks differ.
type Message struct {
	Reports []Report `json:"r,omitempty"`
	Asks    []Ask    `json:"a,omitempty"`
	Grants  []Grant  `json:"g,omitempty"`
}

// Empty reports whether the message says nothing.
func (m Message) Empty() bool { return len(m.Reports)+len(m.Asks)+len(m.Grants) == 0 }

// Report is a Statement.
type Report struct {
	_           struct{} `cbor:",toarray"`
	Server      string
	Incarnation int64
	Limited     bool
	Rate        float64
	// SentAgeMilliseconds and ReceivedAgeMilliseconds are the ages of Sent and Received.
	SentAgeMilliseconds, ReceivedAgeMilliseconds int64
}

// Ask asks the entry that grants the permits for a server for one of them.
type Ask struct {
	_     struct{} `cbor:",toarray"`
	Limit Report
	// Number identifies the Ask at the entry that sends it.
	Number int64
}

// Grant answers an Ask.
type Grant struct {
	_           struct{} `cbor:",toarray"`
	Server      string
	Incarnation int64
	Number      int64
	// Granted is false if there is no permit now.
	Granted bool
	// PauseMilliseconds is the time for which not to ask again if there is no permit.
	PauseMilliseconds int64
}

// Output is what Advance returns.
type Output struct {
	// Announcement is to be sent to all other entries now.
	Announcement Message
	// Asks are to be sent to the entries that are their keys.
	Asks    map[string]*Message
	Changes []Change
}

// Advance returns what is to be sent, and the changes since the last call.
func (l *Limiter) Advance(now time.Time) Output {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := Output{Asks: make(map[string]*Message), Changes: l.changes}
	l.changes = nil
	for server := range l.announcements {
		if state := l.limits[server]; state != nil {
			out.Announcement.Reports = append(out.Announcement.Reports, report(now, state.newest))
		}
	}
	clear(l.announcements)
	for _, state := range l.limits {
		if !state.askDue {
			continue
		}
		state.askDue = false
		to := state.granter
		if to == "" || to == l.self {
			continue
		}
		l.asks++
		state.ask, state.askedAt = l.asks, now
		if out.Asks[to] == nil {
			out.Asks[to] = &Message{}
		}
		out.Asks[to].Asks = append(out.Asks[to].Asks, Ask{Limit: report(now, state.newest), Number: state.ask})
	}
	return out
}

func report(now time.Time, s Statement) Report {
	return Report{
		Server: s.Server, Incarnation: s.Incarnation, Limited: s.Limited, Rate: s.Rate,
		SentAgeMilliseconds: now.Sub(s.Sent).Milliseconds(), ReceivedAgeMilliseconds: now.Sub(s.Received).Milliseconds(),
	}
}

// Periodic returns what the periodic messages of an entry repeat; an empty message while there is no limit.
func (l *Limiter) Periodic(now time.Time) Message {
	l.mu.Lock()
	defer l.mu.Unlock()
	var m Message
	for _, state := range l.limits { // the order of a map is random, so that all limits have their turn
		if len(m.Reports) >= maxPeriodicReports {
			break
		}
		if !state.ended() || now.Sub(state.endedAt) < repeatEndTime {
			m.Reports = append(m.Reports, report(now, state.newest))
		}
	}
	return m
}

// Merge adopts what another entry has told, and returns the answer to it.
func (l *Limiter) Merge(now time.Time, from string, m Message) Message {
	if m.Empty() {
		return Message{}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range m.Reports[:min(len(m.Reports), maxMessageItems)] {
		l.adoptReport(now, from, r)
	}
	var reply Message
	for _, a := range m.Asks[:min(len(m.Asks), maxMessageItems)] {
		l.adoptReport(now, from, a.Limit)
		reply.Grants = append(reply.Grants, l.grant(now, a))
	}
	for _, g := range m.Grants[:min(len(m.Grants), maxMessageItems)] {
		l.receive(now, g)
	}
	return reply
}

// adoptReport adopts what another entry knows of a limit. l.mu is held.
func (l *Limiter) adoptReport(now time.Time, from string, r Report) {
	if !(r.Rate >= 0) { // also for a rate that is no number
		return
	}
	l.adopt(Statement{
		Server: r.Server, Incarnation: r.Incarnation, Limited: r.Limited, Rate: min(r.Rate, maxRate),
		Sent: now.Add(-age(r.SentAgeMilliseconds)), Received: now.Add(-age(r.ReceivedAgeMilliseconds)),
	}, from)
}

func age(milliseconds int64) time.Duration {
	return time.Duration(min(max(milliseconds, 0), maxAge.Milliseconds())) * time.Millisecond
}

// grant decides on a request for a permit. l.mu is held.
func (l *Limiter) grant(now time.Time, a Ask) Grant {
	g := Grant{Server: a.Limit.Server, Incarnation: a.Limit.Incarnation, Number: a.Number, PauseMilliseconds: wrongGranterPause.Milliseconds()}
	state := l.binding(now, g.Server, g.Incarnation)
	if state == nil || state.granter != l.self {
		return g
	}
	b := &state.bucket
	b.refill(now, l.permittedRate(now, state))
	if g.Granted = b.take(); g.Granted {
		l.count(state, Usage{Granted: 1})
		return g
	}
	g.PauseMilliseconds = b.untilNext(now).Milliseconds() + 1
	b.denied = min(b.denied+1, b.rate*maxAskPause.Seconds())
	return g
}

// receive records the answer to a request for a permit. Its time counts from the request. l.mu is held.
func (l *Limiter) receive(now time.Time, g Grant) {
	state := l.binding(now, g.Server, g.Incarnation)
	if state == nil || state.ask == 0 || state.ask != g.Number {
		return // it was answered too late
	}
	state.ask = 0
	if g.Granted {
		state.permits = append(state.permits, state.askedAt.Add(permitLifetime))
	} else {
		l.count(state, Usage{Denied: 1})
		state.askAgainAt = now.Add(min(age(g.PauseMilliseconds), maxAskPause))
	}
	close(l.answered)
	l.answered = make(chan struct{})
}
