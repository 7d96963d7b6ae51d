package writeonce

import (
	"net/http"
	"slices"
	"time"

	"github.com/fescuehub/fescuehub/pkg/frame"
	"github.com/fescuehub/fescuehub/pkg/ident"
	"github.com/fescuehub/fescuehub/pkg/problem"
)

// DisabledChecks turns single mechanisms off. It exists for the tests which show that the checks
// detect what each mechanism prevents. The zero value leaves every mechanism on.
//
// ForgetRuns and ForgetRefusals do not remember executed and refused keys, NoReadBack executes a
// dated key without a claim, AnyIncarnation executes permits of other incarnations, NoWindow
// accepts permits of any age and claims at any time, NoDigest does not compare the content of
// attempts, NoCoverage ignores missing records, TrustOffsets does not compare the last record
// read, and LastClaimWins makes the last claim of a key decide.
type DisabledChecks struct {
	ForgetRuns, NoReadBack, AnyIncarnation, ForgetRefusals, NoWindow, NoDigest bool
	NoCoverage, TrustOffsets, LastClaimWins                                    bool
}

// Answer is the complete answer of a backend server.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Write describes one attempt of an unrepeatable call and the state of the agent that received
// it.
type Write struct {
	Key    Key
	Digest Digest
	// Accepting is false if the agent accepts no new work.
	Accepting bool
	// AtCapacity is true if the agent has reached its limit of remembered keys or running calls.
	AtCapacity bool
}

// Action is what an agent must do with an attempt.
type Action int

// The actions.
const (
	// Run executes the call now. It is returned at most once per key.
	Run Action = iota + 1
	// Wait waits for the execution in progress, then decides again.
	Wait
	// AppendClaim appends a claim, reads it back, then decides again.
	AppendClaim
	// Reply returns Decision.Answer or Decision.Problem to the entry.
	Reply
)

// Decision is the result of deciding about an attempt.
type Decision struct {
	Action  Action
	Answer  *Answer
	Problem *problem.Error
	// Owner is the agent that owns the key if Problem has the kind OwnerElsewhere.
	Owner ident.Incarnation
}

// phase is the progress of a key at this agent.
type phase int

const (
	phaseRunning phase = iota + 1
	phaseRan
	phaseRefused
	phaseAnswerLost
)

// keyState is what a ledger remembers of one key.
type keyState struct {
	key    Key
	phase  phase
	digest Digest
	answer *Answer
}

// Ledger decides about the keys of one partition for one agent incarnation. It is not safe for
// concurrent use: the caller must hold one lock for all calls, so that checking a key and
// starting its execution are a single atomic step.
type Ledger struct {
	self   ident.Incarnation
	claims *ClaimIndex
	keys   map[string]*keyState
	// answered lists the keys whose answers are kept, oldest first; answerBytes is the total size
	// of those answers.
	answered    []string
	answerBytes int
	disabled    DisabledChecks
}

// NewLedger returns the ledger of an agent that starts now.
func NewLedger(self ident.Incarnation) *Ledger { return NewLedgerWithout(self, DisabledChecks{}) }

// NewLedgerWithout returns a ledger with mechanisms turned off. It is for tests.
func NewLedgerWithout(self ident.Incarnation, off DisabledChecks) *Ledger {
	claims := NewClaimIndex()
	claims.disabled = off
	return &Ledger{self: self, claims: claims, keys: make(map[string]*keyState), disabled: off}
}

// Claims returns the index of the partition's claim stream.
func (l *Ledger) Claims() *ClaimIndex { return l.claims }

// Len returns the number of keys that the ledger remembers.
func (l *Ledger) Len() int { return len(l.keys) }

// Decide returns what to do with an attempt. elapsed is the time since the agent started.
func (l *Ledger) Decide(elapsed time.Duration, w Write) Decision {
	if w.Key.IsPermit() && w.Key.owner != l.self && !l.disabled.AnyIncarnation {
		return reply(wrongIncarnation(w.Key, w.Key.owner))
	}
	s, known := l.keys[w.Key.text]
	if known && s.phase != phaseRefused && s.digest != w.Digest && !l.disabled.NoDigest {
		return reply(keyReused(w.Key))
	}
	if known && s.phase != phaseRefused {
		return l.decideKnown(s)
	}
	if w.Key.IsPermit() {
		return l.decidePermit(elapsed, w, known)
	}
	return l.decideDated(w, known)
}

// decideKnown decides about a key that was executed or is being executed.
func (l *Ledger) decideKnown(s *keyState) Decision {
	switch {
	case s.phase == phaseRunning:
		return Decision{Action: Wait}
	case s.phase == phaseAnswerLost:
		return reply(answerLost(s.key))
	case s.answer == nil:
		return reply(answerNotKept(s.key))
	}
	return Decision{Action: Reply, Answer: s.answer}
}

func (l *Ledger) decidePermit(elapsed time.Duration, w Write, isRefused bool) Decision {
	age := elapsed - w.Key.issued
	switch {
	case isRefused:
		return reply(refusedForEver(w.Key))
	case age < 0:
		return reply(problem.New(problem.KeyUndated, "send a permit exactly as the address answer gave it",
			"the permit %q was never issued", w.Key).WithOutcome(problem.NotRun))
	case age > KeyRetention && !l.disabled.NoWindow:
		return reply(keyExpired(w.Key, problem.NotKnown))
	case age > KeyLifetime && !l.disabled.NoWindow:
		return reply(keyExpired(w.Key, problem.NotRun))
	}
	return l.start(w)
}

func (l *Ledger) decideDated(w Write, isRefused bool) Decision {
	if l.disabled.NoReadBack {
		return l.start(w)
	}
	o, claimed := l.claims.ownerOf(w.Key)
	switch {
	case claimed && o.agent != l.self:
		return l.redirect(w, o)
	case !l.claims.Covers(w.Key) && (claimed || l.claims.HasRecords()):
		return reply(notCovered(w.Key))
	case claimed && isRefused:
		return reply(refusedForEver(w.Key))
	case claimed && o.digest != w.Digest && !l.disabled.NoDigest:
		return reply(keyReused(w.Key))
	case claimed:
		return l.start(w)
	case l.claims.Expired(w.Key):
		return reply(l.expiredProblem(w.Key))
	case !w.Accepting && !isRefused:
		return reply(notAccepting())
	case w.AtCapacity && !isRefused:
		return reply(overloaded())
	}
	return Decision{Action: AppendClaim}
}

// expiredProblem returns the refusal of a dated key for which no claim can be valid any more.
// While claims are still retained, the absence of one proves that the key never ran.
func (l *Ledger) expiredProblem(k Key) *problem.Error {
	if l.claims.latestTime.After(k.created.Add(KeyRetention)) {
		return keyExpired(k, problem.NotKnown)
	}
	return keyExpired(k, problem.NotRun)
}

// redirect refers the attempt to the agent that owns the key.
func (l *Ledger) redirect(w Write, o ownerClaim) Decision {
	if o.digest != w.Digest && !l.disabled.NoDigest && l.claims.Covers(w.Key) {
		return reply(keyReused(w.Key))
	}
	d := reply(ownerElsewhere(w.Key, o.agent))
	d.Owner = o.agent
	return d
}

// start begins the execution of a key that has not been executed.
func (l *Ledger) start(w Write) Decision {
	if !w.Accepting {
		l.refuse(w.Key)
		return reply(refusedForEver(w.Key))
	}
	if w.AtCapacity {
		return reply(overloaded())
	}
	l.keys[w.Key.text] = &keyState{key: w.Key, phase: phaseRunning, digest: w.Digest}
	return Decision{Action: Run}
}

// RecordAnswer records the answer of a key that was executed. The answer is dropped if it is
// larger than MaxKeptAnswerBytes. One without the status of a final answer is recorded as a failure.
func (l *Ledger) RecordAnswer(k Key, a Answer) {
	if !frame.IsFinalStatus(a.Status) {
		l.RecordFailure(k, problem.NotKnown)
		return
	}
	if l.disabled.ForgetRuns {
		delete(l.keys, k.text)
		return
	}
	s := l.keys[k.text]
	s.phase = phaseRan
	s.answer = &a
	l.answered = append(l.answered, k.text)
	l.answerBytes += len(a.Body)
	if len(a.Body) > MaxKeptAnswerBytes {
		l.dropAnswer(s)
	}
	for l.answerBytes > MaxKeptBytes {
		l.dropOldestAnswer()
	}
}

// RecordFailure records that an execution ended without an answer. The outcome NotRun means that
// the backend server was certainly not reached.
func (l *Ledger) RecordFailure(k Key, outcome problem.Outcome) {
	s := l.keys[k.text]
	s.phase = phaseAnswerLost
	if outcome == problem.NotRun {
		s.phase = phaseRefused
	}
}

// Certificate is what an agent certifies about a key.
type Certificate struct {
	// Outcome is NotRun if this incarnation has not executed the key and never will.
	Outcome problem.Outcome `json:"outcome"`
	// ForAllAgents is true if the outcome holds for every agent, not only for the one that
	// certifies it.
	ForAllAgents bool `json:"forKey"`
	// Reused is true if the key belongs to a call with other content.
	Reused bool `json:"reused,omitempty"`
}

// Refuse makes the agent refuse the key permanently unless it has already executed it. For a key
// that the agent may have evicted, the outcome is NotKnown.
func (l *Ledger) Refuse(elapsed time.Duration, k Key, d Digest) Certificate {
	if k.IsPermit() && k.owner != l.self {
		return Certificate{Outcome: problem.NotKnown}
	}
	s, known := l.keys[k.text]
	switch {
	case known && s.phase != phaseRefused && s.digest != d:
		return Certificate{Outcome: problem.NotRun, ForAllAgents: true, Reused: true}
	case !known && l.pastRetention(elapsed, k):
		return Certificate{Outcome: problem.NotKnown}
	case known && s.phase == phaseRan:
		return Certificate{Outcome: problem.Ran, ForAllAgents: true}
	case known && s.phase != phaseRefused:
		return Certificate{Outcome: problem.NotKnown}
	}
	l.refuse(k)
	o, claimed := l.claims.ownerOf(k)
	own := claimed && o.agent == l.self && l.claims.Covers(k)
	return Certificate{Outcome: problem.NotRun, ForAllAgents: k.IsPermit() || own}
}

func (l *Ledger) refuse(k Key) {
	if !l.disabled.ForgetRefusals {
		l.keys[k.text] = &keyState{key: k, phase: phaseRefused}
	}
}

// EvictExpired removes keys that can no longer be executed or answered.
func (l *Ledger) EvictExpired(elapsed time.Duration) {
	l.claims.evictExpired()
	for text, s := range l.keys {
		if s.phase != phaseRunning && l.pastRetention(elapsed, s.key) {
			l.dropAnswer(s)
			delete(l.keys, text)
		}
	}
	l.answered = slices.DeleteFunc(l.answered, func(text string) bool { return l.keys[text] == nil })
}

// pastRetention reports whether the key is older than KeyRetention.
func (l *Ledger) pastRetention(elapsed time.Duration, k Key) bool {
	if k.IsPermit() {
		return elapsed-k.issued > KeyRetention
	}
	return l.claims.latestTime.After(k.created.Add(KeyRetention))
}

func (l *Ledger) dropAnswer(s *keyState) {
	if s.answer != nil {
		l.answerBytes -= len(s.answer.Body)
		s.answer = nil
	}
}

func (l *Ledger) dropOldestAnswer() {
	if s, ok := l.keys[l.answered[0]]; ok {
		l.dropAnswer(s)
	}
	l.answered = l.answered[1:]
}

func reply(p *problem.Error) Decision { return Decision{Action: Reply, Problem: p} }
