package writeonce

import (
	"net/http"
	"slices"
	"time"

	"github.com/fescuehub/fescuehub/pkg/ident"
	"github.com/fescuehub/fescuehub/pkg/problem"
)

// DisabledChecks turn single mechanisms off. They exist for the tests that show
// that the checks find what each mechanism prevents; the zero value has every
// mechanism on.
type DisabledChecks struct {
	ForgetRuns, NoReadBack, AnyIncarnation, ForgetRefusals, NoWindow, NoDigest bool
	NoCoverage, TrustOffsets, LastClaimWins                                    bool
}

// Answer is the whole answer of a backend server.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Write is one try of an unrepeatable call.
type Write struct {
	Key    Key
	Digest Digest
	// Accepting is false where the agent takes no new work.
	Accepting bool
	// AtCapacity is true where the agent remembers or runs as much as it may.
	AtCapacity bool
}

// Action is what an agent does with a try.
type Action int

// The actions.
const (
	// Run executes the call now. It is returned once for a key.
	Run Action = iota + 1
	// Wait waits for the execution that is under way, then opens again.
	Wait
	// AppendClaim appends a claim, reads it back, then opens again.
	AppendClaim
	// Reply answers with Decision.Answer or Decision.Problem.
	Reply
)

// Decision is what an agent does with a try.
type Decision struct {
	Action  Action
	Answer  *Answer
	Problem *problem.Error
	// Owner is the agent to ask, where Problem has the kind OwnerElsewhere.
	Owner ident.Incarnation
}

type phase int

const (
	running phase = iota + 1
	ran
	refused
	lost
)

// memory is what a ledger remembers of one key.
type memory struct {
	key    Key
	phase  phase
	digest Digest
	answer *Answer
}

// Ledger decides about the keys of one partition at one agent incarnation. It
// is not safe for concurrent use: its owner calls it under one lock, so that
// the check of a key and the start of its execution are one step.
type Ledger struct {
	self   ident.Incarnation
	claims *ClaimIndex
	keys   map[string]*memory
	// kept lists the keys whose answers are kept, oldest first.
	kept      []string
	keptBytes int
	faults    DisabledChecks
}

// NewLedger returns the ledger of an agent that starts now.
func NewLedger(self ident.Incarnation) *Ledger { return NewLedgerWithout(self, DisabledChecks{}) }

// NewLedgerWithout returns a ledger with mechanisms turned off, for tests.
func NewLedgerWithout(self ident.Incarnation, off DisabledChecks) *Ledger {
	claims := NewClaimIndex()
	claims.faults = off
	return &Ledger{self: self, claims: claims, keys: make(map[string]*memory), faults: off}
}

// Claims returns the fold of the partition's claim stream.
func (l *Ledger) Claims() *ClaimIndex { return l.claims }

// Len returns the number of keys remembered.
func (l *Ledger) Len() int { return len(l.keys) }

// Decide decides about a try. elapsed is the time since the agent started.
func (l *Ledger) Decide(elapsed time.Duration, w Write) Decision {
	if w.Key.IsPermit() && w.Key.owner != l.self && !l.faults.AnyIncarnation {
		return reply(wrongIncarnation(w.Key, w.Key.owner))
	}
	m, known := l.keys[w.Key.text]
	if known && m.phase != refused && m.digest != w.Digest && !l.faults.NoDigest {
		return reply(keyReused(w.Key))
	}
	if known && m.phase != refused {
		return l.recall(m)
	}
	if w.Key.IsPermit() {
		return l.openPermit(elapsed, w, known)
	}
	return l.openClaimed(w, known)
}

// recall answers from what is remembered of a key that was run.
func (l *Ledger) recall(m *memory) Decision {
	switch {
	case m.phase == running:
		return Decision{Action: Wait}
	case m.phase == lost:
		return reply(outcomeLost(m.key))
	case m.answer == nil:
		return reply(answerNotKept(m.key))
	}
	return Decision{Action: Reply, Answer: m.answer}
}

func (l *Ledger) openPermit(elapsed time.Duration, w Write, isRefused bool) Decision {
	age := elapsed - w.Key.issued
	switch {
	case isRefused:
		return reply(refusedForEver(w.Key))
	case age < 0:
		return reply(problem.New(problem.KeyUndated, "send a permit exactly as the address answer gave it",
			"the permit %q was never issued", w.Key).WithOutcome(problem.NotRun))
	case age > KeyRetention && !l.faults.NoWindow:
		return reply(keyExpired(w.Key, problem.NotKnown))
	case age > KeyLifetime && !l.faults.NoWindow:
		return reply(keyExpired(w.Key, problem.NotRun))
	}
	return l.start(w)
}

func (l *Ledger) openClaimed(w Write, isRefused bool) Decision {
	if l.faults.NoReadBack {
		return l.start(w)
	}
	o, decided := l.claims.owner(w.Key)
	switch {
	case decided && o.agent != l.self:
		return l.elsewhere(w, o)
	case !l.claims.Covers(w.Key) && (decided || l.claims.HasRecords()):
		return reply(notCovered(w.Key))
	case decided && isRefused:
		return reply(refusedForEver(w.Key))
	case decided && o.digest != w.Digest && !l.faults.NoDigest:
		return reply(keyReused(w.Key))
	case decided:
		return l.start(w)
	case l.claims.Expired(w.Key):
		return reply(l.expired(w.Key))
	case !w.Accepting && !isRefused:
		return reply(notAccepting())
	case w.AtCapacity && !isRefused:
		return reply(overloaded())
	}
	return Decision{Action: AppendClaim}
}

// expired refuses a dated key for which no claim can count any more. As long
// as claims are remembered, the absence of one shows that the key never ran.
func (l *Ledger) expired(k Key) *problem.Error {
	if l.claims.latest.After(k.made.Add(KeyRetention)) {
		return keyExpired(k, problem.NotKnown)
	}
	return keyExpired(k, problem.NotRun)
}

func (l *Ledger) elsewhere(w Write, o owner) Decision {
	if o.digest != w.Digest && !l.faults.NoDigest && l.claims.Covers(w.Key) {
		return reply(keyReused(w.Key))
	}
	d := reply(ownerElsewhere(w.Key, o.agent))
	d.Owner = o.agent
	return d
}

// start begins the execution of a key that has never been run.
func (l *Ledger) start(w Write) Decision {
	if !w.Accepting {
		l.refuse(w.Key)
		return reply(refusedForEver(w.Key))
	}
	if w.AtCapacity {
		return reply(overloaded())
	}
	l.keys[w.Key.text] = &memory{key: w.Key, phase: running, digest: w.Digest}
	return Decision{Action: Run}
}

// RecordAnswer keeps the answer of a key that was run.
func (l *Ledger) RecordAnswer(k Key, a Answer) {
	if l.faults.ForgetRuns {
		delete(l.keys, k.text)
		return
	}
	m := l.keys[k.text]
	m.phase = ran
	m.answer = &a
	l.kept = append(l.kept, k.text)
	l.keptBytes += len(a.Body)
	if len(a.Body) > MaxKeptAnswerBytes {
		l.drop(m)
	}
	for l.keptBytes > MaxKeptBytes {
		l.dropOldest()
	}
}

// RecordFailure notes that a key that was run has no answer. The outcome NotRun says
// that the backend server was certainly never reached.
func (l *Ledger) RecordFailure(k Key, outcome problem.Outcome) {
	m := l.keys[k.text]
	m.phase = lost
	if outcome == problem.NotRun {
		m.phase = refused
	}
}

// Certificate is what an agent certifies of a key.
type Certificate struct {
	// Outcome NotRun says that this incarnation has not run the key and never
	// will.
	Outcome problem.Outcome `json:"outcome"`
	// ForAllAgents is true where, besides, no other agent ever will.
	ForAllAgents bool `json:"forKey"`
	// Reused is true where the key belongs to a call with other content.
	Reused bool `json:"reused,omitempty"`
}

// Refuse makes the agent refuse the key for ever unless it has run it. It
// certifies nothing of a key that it may have forgotten.
func (l *Ledger) Refuse(elapsed time.Duration, k Key, d Digest) Certificate {
	if k.IsPermit() && k.owner != l.self {
		return Certificate{Outcome: problem.NotKnown}
	}
	m, known := l.keys[k.text]
	switch {
	case known && m.phase != refused && m.digest != d:
		return Certificate{Outcome: problem.NotRun, ForAllAgents: true, Reused: true}
	case !known && l.forgettable(elapsed, k):
		return Certificate{Outcome: problem.NotKnown}
	case known && m.phase == ran:
		return Certificate{Outcome: problem.Ran, ForAllAgents: true}
	case known && m.phase != refused:
		return Certificate{Outcome: problem.NotKnown}
	}
	l.refuse(k)
	o, decided := l.claims.owner(k)
	own := decided && o.agent == l.self && l.claims.Covers(k)
	return Certificate{Outcome: problem.NotRun, ForAllAgents: k.IsPermit() || own}
}

func (l *Ledger) refuse(k Key) {
	if !l.faults.ForgetRefusals {
		l.keys[k.text] = &memory{key: k, phase: refused}
	}
}

// EvictExpired drops keys that can neither run nor be answered any more.
func (l *Ledger) EvictExpired(elapsed time.Duration) {
	l.claims.forget()
	for text, m := range l.keys {
		if m.phase != running && l.forgettable(elapsed, m.key) {
			l.drop(m)
			delete(l.keys, text)
		}
	}
	l.kept = slices.DeleteFunc(l.kept, func(text string) bool { return l.keys[text] == nil })
}

func (l *Ledger) forgettable(elapsed time.Duration, k Key) bool {
	if k.IsPermit() {
		return elapsed-k.issued > KeyRetention
	}
	return l.claims.latest.After(k.made.Add(KeyRetention))
}

func (l *Ledger) drop(m *memory) {
	if m.answer != nil {
		l.keptBytes -= len(m.answer.Body)
		m.answer = nil
	}
}

func (l *Ledger) dropOldest() {
	if m, ok := l.keys[l.kept[0]]; ok {
		l.drop(m)
	}
	l.kept = l.kept[1:]
}

func reply(p *problem.Error) Decision { return Decision{Action: Reply, Problem: p} }
