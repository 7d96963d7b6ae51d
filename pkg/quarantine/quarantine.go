// Package quarantine decides which requests are refused because backend servers crash when they run them.
// Prompts consist of parts that other prompts share; a part is identified by the ID that the caller states.
// A request that comes again, alike, is identified by its fingerprint, which is handled like a part that only
// the request itself has: it is the last one of the request's IDs.
//
// The evidence is the parts of the requests that a server had when it ended. A part that a server has
// answered since then is not to blame. A part that was there at the ends of several servers is refused at
// all entries until one request tries it again after a time that grows with each failure.
//
// The package has no I/O, no clock and no random source of its own: entries exchange Messages.
package quarantine

import (
	"crypto/sha256"
	"encoding/hex"
	"sync"
	"time"
)

const (
	// maxPartsPerPrompt bounds the parts of one prompt that are considered: its last ones, which are the
	// most specific.
	maxPartsPerPrompt = 32
	// maxIDBytes is the length up to which the ID of a part is kept as it is. Longer ones are hashed.
	maxIDBytes = 32
)

// Part identifies a part of prompts, or a whole request by its fingerprint, at one service: another service
// can have other models.
type Part struct{ Service, ID string }

// isRequest reports whether the part is a whole request.
func (p Part) isRequest() bool { return IsFingerprint(p.ID) }

// Refusal says why a request is refused.
type Refusal struct {
	// Part is the ID of the part, or the fingerprint of the request.
	Part string
	// RetryAfter is the time until the part may be tried again.
	RetryAfter time.Duration
}

// Tracker holds the evidence and the parts in quarantine of one entry. It is safe for concurrent use.
type Tracker struct {
	random func() float64
	wake   chan struct{}

	mu    sync.Mutex
	usage usage
	// crashes holds the evidence, in the order of the times.
	crashes []*crash
	// evidenceChanged is true if there is evidence that conclude has not considered yet.
	evidenceChanged bool
	// records holds the parts in quarantine, and for some time those that were released.
	records map[Part]*record
	// suspected holds the parts that the evidence blames, with the time since when. They are refused at
	// this entry, and become quarantined after objectionWindow.
	suspected map[Part]time.Time
	// objections holds, by part, when this entry tells the others that the part has been answered. told
	// holds the last answer that an entry has told.
	objections map[Part]time.Time
	told       map[Part]toldAnswer
	watches    map[*watch]struct{}
	// changes holds what Advance has not returned yet.
	changes []Change
}

// watch is an attempt that is to be cancelled if one of its parts is quarantined.
type watch struct {
	service string
	parts   []string
	cancel  func()
}

// New returns a tracker without evidence. random returns uniform values in [0, 1).
func New(random func() float64) *Tracker {
	return &Tracker{
		random: random, wake: make(chan struct{}, 1), usage: newUsage(), records: make(map[Part]*record), suspected: make(map[Part]time.Time),
		objections: make(map[Part]time.Time), told: make(map[Part]toldAnswer), watches: make(map[*watch]struct{}),
	}
}

// Wake returns a channel that receives a value when Advance is to be called.
func (t *Tracker) Wake() <-chan struct{} { return t.wake }

func (t *Tracker) signal() {
	select {
	case t.wake <- struct{}{}:
	default: // a call is already due
	}
}

// RecordRequest counts a request, from which the tracker learns how common its parts are.
func (t *Tracker) RecordRequest(now time.Time, service string, ids []string) {
	if len(ids) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.usage.recordRequest(now, service, partsOf(service, ids))
}

// Refused reports whether a request with the given parts is refused now.
func (t *Tracker) Refused(now time.Time, service string, ids []string) (Refusal, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	refusal, _, refused := t.check(now, service, ids)
	return refusal, refused
}

// Acquire is called before a request is sent to a server. It reports whether the request is refused, as
// Refused does. If a part may be tried again, the request is the trial: the part is refused to others
// until the result is known.
func (t *Tracker) Acquire(now time.Time, service string, ids []string) (Refusal, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	refusal, trials, refused := t.check(now, service, ids)
	for _, r := range trials {
		r.beginTrial(now, t.random())
		t.addChange(r, TrialBegun)
	}
	return refusal, refused
}

// check returns the parts that may be tried again, or why the request is refused. t.mu is held.
func (t *Tracker) check(now time.Time, service string, ids []string) (Refusal, []*record, bool) {
	if len(t.records) == 0 && len(t.suspected) == 0 {
		return Refusal{}, nil, false
	}
	var trials []*record
	for _, p := range partsOf(service, ids) {
		if since, suspected := t.suspected[p]; suspected {
			wait := objectionWindow
			if p.isRequest() {
				wait = firstRequestQuarantine
			}
			return Refusal{Part: p.ID, RetryAfter: max(since.Add(objectionWindow+wait).Sub(now), wait)}, nil, true
		}
		r := t.records[p]
		if r == nil || r.released {
			continue
		}
		if !now.Before(r.trialAt) && r.trialsUsed() {
			r.renew(now, t.random())
			t.addChange(r, Renewed)
		}
		if now.Before(r.trialAt) {
			return Refusal{Part: p.ID, RetryAfter: r.trialAt.Sub(now)}, nil, true
		}
		trials = append(trials, r)
	}
	return Refusal{}, trials, false
}

// RecordAnswered records that a server has answered a request with the given parts, at least so far that
// none of them can crash it. It ends the quarantine of a part.
func (t *Tracker) RecordAnswered(now time.Time, service string, ids []string) {
	if len(ids) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	parts := partsOf(service, ids)
	t.usage.recordOwnAnswer(now, service, parts)
	for _, p := range parts {
		if r := t.records[p]; r != nil && !r.released {
			r.release(now)
			t.addChange(r, Answered)
		}
	}
}

// MayRepeat reports whether a request that a server had when it ended may be sent to another one: each of
// its parts has been answered before, and has been there at no other crash since. The request itself need
// not have been answered.
func (t *Tracker) MayRepeat(now time.Time, service string, ids []string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range partsOf(service, ids) {
		answeredAt, answered := t.usage.lastAnswer(p)
		if t.isRefused(p) {
			return false
		}
		crashes := t.crashesSince(p, answeredAt)
		if p.isRequest() {
			if len(crashes) > 1 || t.strikesElsewhere(p) > 0 {
				return false
			}
		} else if !answered || moments(crashesOf(crashes)) > 1 {
			return false
		}
	}
	return true
}

// isRefused reports whether a part is suspected or in quarantine. t.mu is held.
func (t *Tracker) isRefused(p Part) bool {
	_, suspected := t.suspected[p]
	return suspected || t.inQuarantine(p)
}

// Watch calls cancel if one of the parts is quarantined before stop is called.
func (t *Tracker) Watch(service string, ids []string, cancel func()) (stop func()) {
	if len(ids) == 0 {
		return func() {}
	}
	w := &watch{service, ids, cancel}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.watches[w] = struct{}{}
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.watches, w)
	}
}

// cancelWatches cancels the attempts with a part. t.mu is held; the calls run on a goroutine of their own,
// since they may call the tracker.
func (t *Tracker) cancelWatches(p Part) {
	var cancels []func()
	for w := range t.watches {
		if w.service != p.Service {
			continue
		}
		for _, other := range partsOf(w.service, w.parts) {
			if other == p {
				cancels = append(cancels, w.cancel)
				break
			}
		}
	}
	if len(cancels) > 0 {
		go func() {
			for _, cancel := range cancels {
				cancel()
			}
		}()
	}
}

// partsOf returns the parts that a tracker considers.
func partsOf(service string, ids []string) []Part {
	ids = ids[max(len(ids)-maxPartsPerPrompt, 0):]
	parts := make([]Part, len(ids))
	for i, id := range ids {
		parts[i] = Part{service, shortID(id)}
	}
	return parts
}

// shortID bounds the length of an ID.
func shortID(id string) string {
	if len(id) <= maxIDBytes {
		return id
	}
	sum := sha256.Sum256([]byte(id))
	return hex.EncodeToString(sum[:maxIDBytes/2])
}
