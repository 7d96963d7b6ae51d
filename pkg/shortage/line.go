package shortage

import (
	"slices"
	"time"
)

// guaranteedTurn is the share of turns, one in guaranteedTurn, that goes to the class that has waited longest for
// one, so that a flood of urgent requests does not take all of them. A class of requests counts as starved
// if it is served less than a quarter as often as all; one turn in 8 serves a class that is an eighth of
// the requests as often as the others.
const guaranteedTurn = 8

// Request is what the order of requests depends on.
type Request struct {
	// Priority is the urgency; 0 is the most urgent.
	Priority     int
	Organisation string
	// SendBy is when the request is sent at the latest, whatever waits before it.
	SendBy time.Time
	// MaxGap is the longest pause between events that the request tolerates; 0 if it tolerates any.
	MaxGap time.Duration
}

// Ticket is the place of one request in a line.
type Ticket struct {
	Request
	// granted is true once the request has got what it waits for, left once it is out of the line.
	granted, left bool
}

// line orders waiting requests: by urgency, then by organisation in turn, then by arrival. It is not safe for
// concurrent use.
type line struct {
	classes map[int]*lineClass
	length  int
	// turns counts the requests that had their turn; sinceGuaranteed counts them since a less urgent class last
	// had a guaranteed one.
	turns, sinceGuaranteed int
}

// lineClass holds the waiting requests of one priority.
type lineClass struct {
	// organisations holds the organisations that have waiting requests in the order of their turns.
	organisations []string
	waiting       map[string][]*Ticket
	length        int
	// lastTurn is the number of the last turn of this class.
	lastTurn int
}

// join adds a request at the end of its organisation's requests.
func (l *line) join(r Request) *Ticket {
	if l.classes == nil {
		l.classes = make(map[int]*lineClass)
	}
	c := l.classes[r.Priority]
	if c == nil {
		c = &lineClass{waiting: make(map[string][]*Ticket), lastTurn: l.turns}
		l.classes[r.Priority] = c
	}
	if c.length == 0 {
		c.lastTurn = max(c.lastTurn, l.turns)
	}
	t := &Ticket{Request: r}
	if len(c.waiting[r.Organisation]) == 0 {
		c.organisations = append(c.organisations, r.Organisation)
	}
	c.waiting[r.Organisation] = append(c.waiting[r.Organisation], t)
	c.length++
	l.length++
	return t
}

// first returns the request whose turn is next, nil if none waits. urgent is the first of the most urgent requests: the
// same one, unless a less urgent class has a guaranteed turn.
func (l *line) first() (next, urgent *Ticket) {
	var mostUrgent, starved *lineClass
	urgentPriority := 0
	for priority, c := range l.classes {
		if c.length > 0 && (mostUrgent == nil || priority < urgentPriority) {
			mostUrgent, urgentPriority = c, priority
		}
	}
	if mostUrgent == nil {
		return nil, nil
	}
	urgent = mostUrgent.first()
	if l.sinceGuaranteed >= guaranteedTurn-1 {
		for priority, c := range l.classes {
			if c.length > 0 && priority != urgentPriority && (starved == nil || c.lastTurn < starved.lastTurn) {
				starved = c
			}
		}
	}
	if starved != nil {
		return starved.first(), urgent
	}
	return urgent, urgent
}

// first returns the request of a class that has waiting ones whose turn is next.
func (c *lineClass) first() *Ticket { return c.waiting[c.organisations[0]][0] }

// leave removes a request from the line. hadTurn tells whether it goes on because its turn came.
func (l *line) leave(t *Ticket, hadTurn bool) {
	if t.left {
		return
	}
	t.left = true
	c := l.classes[t.Priority]
	list := c.waiting[t.Organisation]
	at := slices.Index(list, t)
	list = slices.Delete(list, at, at+1)
	position := slices.Index(c.organisations, t.Organisation)
	if len(list) == 0 {
		delete(c.waiting, t.Organisation)
	} else {
		c.waiting[t.Organisation] = list
	}
	if hadTurn || len(list) == 0 {
		c.organisations = slices.Delete(c.organisations, position, position+1)
		if len(list) > 0 {
			c.organisations = append(c.organisations, t.Organisation)
		}
	}
	c.length--
	l.length--
	if hadTurn {
		l.recordTurn(t.Priority, c)
	}
}

// recordTurn records the turn of a class. It is a guaranteed one if more urgent requests wait.
func (l *line) recordTurn(priority int, c *lineClass) {
	l.turns++
	c.lastTurn = l.turns
	moreUrgent, lessUrgent := false, false
	for p, other := range l.classes {
		moreUrgent = moreUrgent || other.length > 0 && p < priority
		lessUrgent = lessUrgent || other.length > 0 && p > priority
	}
	switch {
	case moreUrgent || !lessUrgent:
		l.sinceGuaranteed = 0
	default:
		l.sinceGuaranteed++
	}
}

// lengths adds the number of waiting requests by priority to a count.
func (l *line) lengths(counts map[int]int) {
	for priority, c := range l.classes {
		counts[priority] += c.length
	}
}
