package writeonce_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/fescuehub/fescuehub/pkg/ident"
	"github.com/fescuehub/fescuehub/pkg/problem"
	"github.com/fescuehub/fescuehub/pkg/writeonce"
)

var baseTime = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

// testLog is a claim stream that tests edit directly.
type testLog struct {
	first   int64
	records []writeonce.Record
}

func (l *testLog) append(agent ident.Incarnation, at time.Time, claims ...writeonce.Claim) int64 {
	offset := l.first + int64(len(l.records))
	data, _ := writeonce.EncodeBatch(writeonce.Batch{ID: fmt.Sprint(agent, offset, at), Agent: agent, Claims: claims})
	l.records = append(l.records, writeonce.Record{Offset: offset, Time: at, Data: data})
	return offset
}

// read makes the partition read until it is up to date.
func (l *testLog) read(p *writeonce.Partition) (lost bool) {
	for range 3 {
		from := max(p.Claims().ReadOffset(), l.first)
		page := writeonce.Page{From: p.Claims().ReadOffset(), First: l.first, Next: l.first + int64(len(l.records))}
		page.Records = l.records[min(from-l.first, int64(len(l.records))):]
		lost = p.Observe(page) || lost
	}
	return lost
}

func newAttempt(text, body string) *writeonce.Attempt {
	key, err := writeonce.ParseKey(text)
	if err != nil {
		panic(err)
	}
	return &writeonce.Attempt{Write: writeonce.Write{Key: key, Digest: writeonce.Content{Body: []byte(body)}.Digest(), Accepting: true}}
}

// executionsAcrossLogRestart counts the executions of one key at two agents when the log restarts
// at offset 0 and then grows past the offset that the second agent has read.
func executionsAcrossLogRestart(off writeonce.DisabledChecks) int {
	a, b := writeonce.NewPartitionWithout("a@0", off), writeonce.NewPartitionWithout("b@0", off)
	log := &testLog{}
	log.append("open", baseTime.Add(-time.Hour))
	log.read(b)
	runs := 0
	send := func(p *writeonce.Partition, self ident.Incarnation, at time.Time) {
		t := newAttempt(keyAt(baseTime, 1), "hold")
		if p.Step(0, t).Action == writeonce.AppendClaim {
			claims := p.DequeueClaims()
			p.AppendDone(0, claims, log.append(self, at, claims...), nil)
			log.read(p)
		}
		if p.Step(0, t).Action == writeonce.Run {
			runs++
		}
	}
	send(a, "a@0", baseTime)
	log.records = nil
	log.append("x", baseTime.Add(time.Second))
	log.append("y", baseTime.Add(2*time.Second))
	send(b, "b@0", baseTime.Add(3*time.Second))
	return runs
}

// A log that restarts at offset 0 loses the claim of a key that was executed. The second agent must
// notice and not execute the key again.
func TestRestartedLogIsDetected(t *testing.T) {
	if n := executionsAcrossLogRestart(writeonce.DisabledChecks{}); n != 1 {
		t.Errorf("%d executions of one key, want 1", n)
	}
	for name, off := range map[string]writeonce.DisabledChecks{
		"record identity check": {TrustOffsets: true},
		"coverage of claims":    {NoCoverage: true},
	} {
		if n := executionsAcrossLogRestart(off); n != 2 {
			t.Errorf("without %s: %d executions of one key, want the second one that it prevents", name, n)
		}
	}
}

// An agent must refuse dated keys whose claims it may have missed: those from before the stream,
// while it reads a stale replica, and after records have expired unread.
func TestLostRecordsAndStaleReplicas(t *testing.T) {
	log := &testLog{}
	log.append("open", baseTime)
	p := writeonce.NewPartition("a@0")
	log.read(p)
	want := func(what string, created time.Time, action writeonce.Action, kind problem.Kind) {
		t.Helper()
		d := p.Step(0, newAttempt(keyAt(created, 1), "hold"))
		if d.Action != action || d.Problem != nil && d.Problem.Kind != kind {
			t.Errorf("%s: %d %v", what, d.Action, d.Problem)
		}
	}
	want("created before the stream", baseTime.Add(time.Second), writeonce.Reply, problem.LogRegressed)
	want("created after its start", baseTime.Add(writeonce.MaxClockLead), writeonce.AppendClaim, "")
	for i := range 5 {
		log.append("b@0", baseTime.Add(time.Duration(i)*time.Second))
	}
	log.read(p)
	hidden := log.records[3:]
	log.records = log.records[:3]
	if log.read(p) || !p.Claims().Regressed() {
		t.Error("a stale replica was not detected, or was treated as a loss")
	}
	want("stale replica", baseTime.Add(5*time.Second), writeonce.Reply, problem.LogRegressed)
	log.records = append(log.records, hidden...)
	if log.read(p) || p.Claims().Regressed() {
		t.Error("a replica that has caught up was treated as stale or as a loss")
	}
	want("caught up", baseTime.Add(5*time.Second), writeonce.AppendClaim, "")
	own := newAttempt(keyAt(baseTime.Add(5*time.Second), 2), "hold")
	p.Step(0, own)
	log.append("a@0", baseTime.Add(5*time.Second), p.DequeueClaims()...)
	log.read(p)
	log.append("b@0", baseTime.Add(time.Minute))
	log.first, log.records = 7, log.records[7:]
	page := writeonce.Page{From: p.Claims().ReadOffset(), First: log.first, Next: 8, Records: log.records}
	if !p.Observe(page) {
		t.Error("expired records were not detected")
	}
	if d := p.Step(0, own); d.Action != writeonce.Reply || d.Problem.Kind != problem.LogRegressed {
		t.Errorf("own claim before the gap: %d %v", d.Action, d.Problem)
	}
	log.read(p)
	want("before the gap", baseTime.Add(5*time.Second), writeonce.Reply, problem.LogRegressed)
	want("after the gap", baseTime.Add(time.Minute+writeonce.MaxClockLead), writeonce.AppendClaim, "")
}

// The first valid claim in the log must decide which agent executes a key and what the others
// reply.
func TestFirstClaimDecides(t *testing.T) {
	created := baseTime.Add(time.Minute)
	claim := func(text, body string) writeonce.Claim {
		d := newAttempt(text, body).Write.Digest
		return writeonce.Claim{Key: text, Digest: d[:]}
	}
	key := keyAt(created, 1)
	for name, c := range map[string]struct {
		agent   ident.Incarnation
		body    string
		at      time.Duration
		later   time.Duration
		action  writeonce.Action
		kind    problem.Kind
		outcome problem.Outcome
	}{
		"own":                       {agent: "a@0", body: "hold", action: writeonce.Run},
		"of another":                {agent: "b@0", body: "hold", action: writeonce.Reply, kind: problem.OwnerElsewhere, outcome: problem.NotKnown},
		"of an earlier incarnation": {agent: "a@x", body: "hold", action: writeonce.Reply, kind: problem.OwnerElsewhere, outcome: problem.NotKnown},
		"with another body":         {agent: "b@0", body: "deposit", action: writeonce.Reply, kind: problem.KeyReused, outcome: problem.NotRun},
		"after the key's lifetime":  {agent: "b@0", body: "hold", at: writeonce.KeyLifetime + time.Second, action: writeonce.Reply, kind: problem.KeyExpired, outcome: problem.NotRun},
		"before the key's creation": {agent: "b@0", body: "hold", at: -3 * time.Second, action: writeonce.AppendClaim},
		"past retention":            {agent: "b@0", body: "hold", later: writeonce.KeyRetention + time.Second, action: writeonce.Reply, kind: problem.OwnerElsewhere, outcome: problem.NotKnown},
		"past retention, evicted":   {agent: "b@0", body: "hold", later: 2*writeonce.KeyRetention + time.Second, action: writeonce.Reply, kind: problem.KeyExpired, outcome: problem.NotKnown},
	} {
		log := &testLog{}
		log.append("open", baseTime)
		log.append(c.agent, created.Add(c.at), claim(key, c.body))
		p := writeonce.NewPartition("a@0")
		log.read(p)
		if c.later > 0 {
			log.append("x", created.Add(c.later))
			log.read(p)
			if c.later > 2*writeonce.KeyRetention {
				p.EvictExpired(0)
			}
		}
		d := p.Step(0, newAttempt(key, "hold"))
		if d.Action != c.action || d.Problem != nil && (d.Problem.Kind != c.kind || d.Problem.Outcome != c.outcome) {
			t.Errorf("claim %s: %d %v", name, d.Action, d.Problem)
		}
	}
}

// If the reply of an append is lost, the claim may be in the log or not. A claim that is read
// back must let the call run unless the attempt has stopped waiting; then the key must stay
// refused.
func TestPendingClaim(t *testing.T) {
	lost := problem.New(problem.LogUnavailable, "", "").WithOutcome(problem.NotKnown)
	refused := lost.WithOutcome(problem.NotRun)
	for name, c := range map[string]struct {
		err         *problem.Error
		inLog       bool
		abandon     bool
		kind, after problem.Kind
		runs        bool
	}{
		"reply lost, in the log":                     {err: lost, inLog: true, runs: true},
		"reply lost, in the log, read back too late": {err: lost, inLog: true, abandon: true, kind: problem.RefusedForEver, after: problem.RefusedForEver},
		"reply lost, not in the log":                 {err: lost, abandon: true, kind: problem.LogUnavailable},
		"refused":                                    {err: refused, kind: problem.LogUnavailable},
	} {
		log := &testLog{}
		log.append("open", baseTime)
		p := writeonce.NewPartition("a@0")
		log.read(p)
		key := keyAt(baseTime.Add(time.Minute), 1)
		attempt := newAttempt(key, "hold")
		p.Step(0, attempt)
		claims := p.DequeueClaims()
		p.AppendDone(0, claims, 0, c.err)
		if c.abandon {
			p.AbandonClaim(0, attempt)
		}
		if c.inLog {
			log.append("a@0", baseTime.Add(time.Minute), claims...)
		}
		log.read(p)
		d := p.Step(0, attempt)
		if c.runs != (d.Action == writeonce.Run) || !c.runs && d.Problem.Kind != c.kind {
			t.Errorf("%s: %d %v", name, d.Action, d.Problem)
		}
		if again := p.Step(2*time.Second, newAttempt(key, "hold")); c.after != "" && (again.Problem == nil || again.Problem.Kind != c.after) {
			t.Errorf("%s, again: %v", name, again.Problem)
		}
		if p.QueuedClaims() > 0 != (c.err == refused || !c.inLog) {
			t.Errorf("%s: %d claims queued by the next attempt", name, p.QueuedClaims())
		}
	}
}

// A permit must run only within its lifetime. Afterwards it must get not-run while the agent
// still remembers executed permits, and not-known once they have been evicted.
func TestPermitExpiry(t *testing.T) {
	issued := time.Hour
	for _, c := range []struct {
		age     time.Duration
		ran     bool
		action  writeonce.Action
		outcome problem.Outcome
	}{
		{0, false, writeonce.Run, ""},
		{writeonce.KeyLifetime, false, writeonce.Run, ""},
		{writeonce.KeyLifetime + time.Second, false, writeonce.Reply, problem.NotRun},
		{writeonce.KeyLifetime + time.Second, true, writeonce.Reply, ""},
		{writeonce.KeyRetention + time.Second, false, writeonce.Reply, problem.NotKnown},
		{writeonce.KeyRetention + time.Second, true, writeonce.Reply, problem.NotKnown},
		{-time.Second, false, writeonce.Reply, problem.NotRun},
	} {
		p := writeonce.NewPartition("a@0")
		attempt := newAttempt(writeonce.NewPermit("a@0", issued, 7).String(), "hold")
		if c.ran {
			p.Step(issued, attempt)
			p.RecordAnswer(attempt.Write.Key, writeonce.Answer{Status: 200})
		}
		p.EvictExpired(issued + c.age)
		d := p.Step(issued+c.age, attempt)
		if d.Action != c.action || d.Problem != nil && d.Problem.Outcome != c.outcome || d.Problem == nil && c.outcome != "" {
			t.Errorf("age %v, ran %t: %d %v", c.age, c.ran, d.Action, d.Problem)
		}
		cert := p.Refuse(issued+c.age, attempt.Write.Key, attempt.Write.Digest)
		if c.age > writeonce.KeyRetention && cert.Outcome != problem.NotKnown {
			t.Errorf("age %v: a forgotten key was certified %s", c.age, cert.Outcome)
		}
	}
}

// Kept answers must stay within their limits, and a key whose answer was dropped must still count
// as executed.
func TestKeptAnswersAreBounded(t *testing.T) {
	p := writeonce.NewPartition("a@0")
	run := func(n, size int) *writeonce.Attempt {
		attempt := newAttempt(writeonce.NewPermit("a@0", 0, uint64(n)).String(), "hold")
		p.Step(0, attempt)
		p.RecordAnswer(attempt.Write.Key, writeonce.Answer{Status: 200, Body: make([]byte, size)})
		return attempt
	}
	large := run(0, writeonce.MaxKeptAnswerBytes+1)
	first := run(1, writeonce.MaxKeptAnswerBytes)
	last := first
	for i := range writeonce.MaxKeptBytes / writeonce.MaxKeptAnswerBytes {
		last = run(2+i, writeonce.MaxKeptAnswerBytes)
	}
	for what, attempt := range map[string]*writeonce.Attempt{"answer over the size limit": large, "oldest answer": first} {
		if d := p.Step(0, attempt); d.Problem == nil || d.Problem.Kind != problem.AnswerNotKept || d.Problem.Outcome != problem.Ran {
			t.Errorf("%s: %v", what, d.Problem)
		}
	}
	if d := p.Step(0, last); d.Answer == nil {
		t.Errorf("last answer: %v", d.Problem)
	}
	full := newAttempt(writeonce.NewPermit("a@0", 0, 999).String(), "hold")
	full.Write.AtCapacity = true
	if d := p.Step(0, full); d.Problem == nil || d.Problem.Kind != problem.Overloaded {
		t.Errorf("agent at capacity: %v", d.Problem)
	}
}

// FuzzParseKey checks that a text is either refused with the outcome NotRun or parsed into a key with
// the same text.
func FuzzParseKey(f *testing.F) {
	for _, seed := range []string{"", "till-3-0001", keyAt(baseTime, 1), "permit:a@0/1/2", "permit:a@0/-1/2", "permit:a/1/2", "permit:a@0/01/2", "permit:a@0/1", "permit://"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		key, err := writeonce.ParseKey(text)
		if err != nil {
			if p := problem.Of(err); p.Kind != problem.KeyUndated || p.Outcome != problem.NotRun {
				t.Fatalf("%q: %v", text, err)
			}
			return
		}
		if key.String() != text || key.IsPermit() != strings.HasPrefix(text, "permit:") {
			t.Fatalf("%q is parsed as %q", text, key)
		}
	})
}

// TestAnswerWithoutStatusIsNotKept guards against a key that is answered with a status that is none: its call may have
// run, and its answer is lost.
func TestAnswerWithoutStatusIsNotKept(t *testing.T) {
	for _, status := range []int{-1, 0, 100, 101, 199, 600} {
		p := writeonce.NewPartition("a@0")
		attempt := newAttempt(writeonce.NewPermit("a@0", 0, 7).String(), "hold")
		p.Step(0, attempt)
		p.RecordAnswer(attempt.Write.Key, writeonce.Answer{Status: status, Body: []byte("what")})
		d := p.Step(0, attempt)
		if d.Answer != nil || d.Problem == nil || d.Problem.Kind != problem.AnswerLost || d.Problem.Outcome != problem.NotKnown {
			t.Errorf("status %d: %+v, want a lost answer with an unknown outcome", status, d)
		}
	}
}
