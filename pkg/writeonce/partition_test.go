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

var day = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

// testLog is a claim stream that tests change by hand.
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

// read lets the partition read until it has caught up.
func (l *testLog) read(p *writeonce.Partition) (lost bool) {
	for range 3 {
		from := max(p.Claims().ReadOffset(), l.first)
		page := writeonce.Page{From: p.Claims().ReadOffset(), First: l.first, Next: l.first + int64(len(l.records))}
		page.Records = l.records[min(from-l.first, int64(len(l.records))):]
		lost = p.Observe(page) || lost
	}
	return lost
}

func tryOf(text, body string) *writeonce.Attempt {
	key, err := writeonce.ParseKey(text)
	if err != nil {
		panic(err)
	}
	return &writeonce.Attempt{Write: writeonce.Write{Key: key, Digest: writeonce.Content{Body: []byte(body)}.Digest(), Accepting: true}}
}

// runsOverRestart counts the runs of a key at two agents when the log starts
// again at offset 0 and grows past what the second agent has read.
func runsOverRestart(off writeonce.DisabledChecks) int {
	a, b := writeonce.NewPartitionWithout("a@0", off), writeonce.NewPartitionWithout("b@0", off)
	log := &testLog{}
	log.append("open", day.Add(-time.Hour))
	log.read(b)
	runs := 0
	send := func(p *writeonce.Partition, self ident.Incarnation, at time.Time) {
		t := tryOf(keyAt(day, 1), "hold")
		if p.Step(0, t).Action == writeonce.AppendClaim {
			claims := p.DequeueClaims()
			p.AppendDone(0, claims, log.append(self, at, claims...), nil)
			log.read(p)
		}
		if p.Step(0, t).Action == writeonce.Run {
			runs++
		}
	}
	send(a, "a@0", day)
	log.records = nil
	log.append("x", day.Add(time.Second))
	log.append("y", day.Add(2*time.Second))
	send(b, "b@0", day.Add(3*time.Second))
	return runs
}

func TestLogThatStartsAgainIsNoticed(t *testing.T) {
	if n := runsOverRestart(writeonce.DisabledChecks{}); n != 1 {
		t.Errorf("%d runs", n)
	}
	for name, off := range map[string]writeonce.DisabledChecks{
		"identity of a record": {TrustOffsets: true},
		"coverage of claims":   {NoCoverage: true},
	} {
		if n := runsOverRestart(off); n != 2 {
			t.Errorf("without %s: %d runs, want the double run that it prevents", name, n)
		}
	}
}

// TestLostRecords shows what an agent does about a stream with a gap, an old
// replica, and a new stream.
func TestLostRecords(t *testing.T) {
	log := &testLog{}
	log.append("open", day)
	p := writeonce.NewPartition("a@0")
	log.read(p)
	want := func(what string, made time.Time, action writeonce.Action, kind problem.Kind) {
		t.Helper()
		d := p.Step(0, tryOf(keyAt(made, 1), "hold"))
		if d.Action != action || d.Problem != nil && d.Problem.Kind != kind {
			t.Errorf("%s: %d %v", what, d.Action, d.Problem)
		}
	}
	want("made before the stream", day.Add(time.Second), writeonce.Reply, problem.LogRegressed)
	want("made after", day.Add(writeonce.MaxClockLead), writeonce.AppendClaim, "")
	for i := range 5 {
		log.append("b@0", day.Add(time.Duration(i)*time.Second))
	}
	log.read(p)
	hidden := log.records[3:]
	log.records = log.records[:3]
	if log.read(p) || !p.Claims().Regressed() {
		t.Error("an old replica was not noticed, or taken for a loss")
	}
	want("old replica", day.Add(5*time.Second), writeonce.Reply, problem.LogRegressed)
	log.records = append(log.records, hidden...)
	if log.read(p) || p.Claims().Regressed() {
		t.Error("the replica has caught up")
	}
	want("caught up", day.Add(5*time.Second), writeonce.AppendClaim, "")
	own := tryOf(keyAt(day.Add(5*time.Second), 2), "hold")
	p.Step(0, own)
	log.append("a@0", day.Add(5*time.Second), p.DequeueClaims()...)
	log.read(p)
	log.append("b@0", day.Add(time.Minute))
	log.first, log.records = 7, log.records[7:]
	page := writeonce.Page{From: p.Claims().ReadOffset(), First: log.first, Next: 8, Records: log.records}
	if !p.Observe(page) {
		t.Error("expired records were not noticed")
	}
	if d := p.Step(0, own); d.Action != writeonce.Reply || d.Problem.Kind != problem.LogRegressed {
		t.Errorf("an own claim before the gap: %d %v", d.Action, d.Problem)
	}
	log.read(p)
	want("before the gap", day.Add(5*time.Second), writeonce.Reply, problem.LogRegressed)
	want("after the gap", day.Add(time.Minute+writeonce.MaxClockLead), writeonce.AppendClaim, "")
}

// TestClaims decides keys by what the log holds.
func TestClaims(t *testing.T) {
	made := day.Add(time.Minute)
	claim := func(text, body string) writeonce.Claim {
		d := tryOf(text, body).Write.Digest
		return writeonce.Claim{Key: text, Digest: d[:]}
	}
	key := keyAt(made, 1)
	for name, c := range map[string]struct {
		agent   ident.Incarnation
		body    string
		at      time.Duration
		later   time.Duration
		action  writeonce.Action
		kind    problem.Kind
		outcome problem.Outcome
	}{
		"own":                  {agent: "a@0", body: "hold", action: writeonce.Run},
		"of another":           {agent: "b@0", body: "hold", action: writeonce.Reply, kind: problem.OwnerElsewhere, outcome: problem.NotKnown},
		"of an earlier life":   {agent: "a@x", body: "hold", action: writeonce.Reply, kind: problem.OwnerElsewhere, outcome: problem.NotKnown},
		"with another body":    {agent: "b@0", body: "deposit", action: writeonce.Reply, kind: problem.KeyReused, outcome: problem.NotRun},
		"after the window":     {agent: "b@0", body: "hold", at: writeonce.KeyLifetime + time.Second, action: writeonce.Reply, kind: problem.KeyExpired, outcome: problem.NotRun},
		"before the key":       {agent: "b@0", body: "hold", at: -3 * time.Second, action: writeonce.AppendClaim},
		"and expired":          {agent: "b@0", body: "hold", later: writeonce.KeyRetention + time.Second, action: writeonce.Reply, kind: problem.OwnerElsewhere, outcome: problem.NotKnown},
		"and forgotten, twice": {agent: "b@0", body: "hold", later: 2*writeonce.KeyRetention + time.Second, action: writeonce.Reply, kind: problem.KeyExpired, outcome: problem.NotKnown},
	} {
		log := &testLog{}
		log.append("open", day)
		log.append(c.agent, made.Add(c.at), claim(key, c.body))
		p := writeonce.NewPartition("a@0")
		log.read(p)
		if c.later > 0 {
			log.append("x", made.Add(c.later))
			log.read(p)
			if c.later > 2*writeonce.KeyRetention {
				p.EvictExpired(0)
			}
		}
		d := p.Step(0, tryOf(key, "hold"))
		if d.Action != c.action || d.Problem != nil && (d.Problem.Kind != c.kind || d.Problem.Outcome != c.outcome) {
			t.Errorf("claim %s: %d %v", name, d.Action, d.Problem)
		}
	}
}

// TestClaimOnItsWay follows the ticket of a claim.
func TestClaimOnItsWay(t *testing.T) {
	lost := problem.New(problem.LogUnavailable, "", "").WithOutcome(problem.NotKnown)
	refused := lost.WithOutcome(problem.NotRun)
	for name, c := range map[string]struct {
		err         *problem.Error
		stands      bool
		giveUp      bool
		kind, after problem.Kind
		runs        bool
	}{
		"reply lost, stands":                {err: lost, stands: true, runs: true},
		"reply lost, stands, read too late": {err: lost, stands: true, giveUp: true, kind: problem.RefusedForEver, after: problem.RefusedForEver},
		"reply lost, does not stand":        {err: lost, giveUp: true, kind: problem.LogUnavailable},
		"refused":                           {err: refused, kind: problem.LogUnavailable},
	} {
		log := &testLog{}
		log.append("open", day)
		p := writeonce.NewPartition("a@0")
		log.read(p)
		key := keyAt(day.Add(time.Minute), 1)
		try := tryOf(key, "hold")
		p.Step(0, try)
		claims := p.DequeueClaims()
		p.AppendDone(0, claims, 0, c.err)
		if c.giveUp {
			p.AbandonClaim(0, try)
		}
		if c.stands {
			log.append("a@0", day.Add(time.Minute), claims...)
		}
		log.read(p)
		d := p.Step(0, try)
		if c.runs != (d.Action == writeonce.Run) || !c.runs && d.Problem.Kind != c.kind {
			t.Errorf("%s: %d %v", name, d.Action, d.Problem)
		}
		if again := p.Step(2*time.Second, tryOf(key, "hold")); c.after != "" && (again.Problem == nil || again.Problem.Kind != c.after) {
			t.Errorf("%s, again: %v", name, again.Problem)
		}
		if p.QueuedClaims() > 0 != (c.err == refused || !c.stands) {
			t.Errorf("%s: %d claims queued by the next try", name, p.QueuedClaims())
		}
	}
}

// TestPermitTimes follows a permit through the window.
func TestPermitTimes(t *testing.T) {
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
		try := tryOf(writeonce.NewPermit("a@0", issued, 7).String(), "hold")
		if c.ran {
			p.Step(issued, try)
			p.RecordAnswer(try.Write.Key, writeonce.Answer{Status: 200})
		}
		p.EvictExpired(issued + c.age)
		d := p.Step(issued+c.age, try)
		if d.Action != c.action || d.Problem != nil && d.Problem.Outcome != c.outcome || d.Problem == nil && c.outcome != "" {
			t.Errorf("age %v, ran %t: %d %v", c.age, c.ran, d.Action, d.Problem)
		}
		cert := p.Refuse(issued+c.age, try.Write.Key, try.Write.Digest)
		if c.age > writeonce.KeyRetention && cert.Outcome != problem.NotKnown {
			t.Errorf("age %v: a forgotten key was certified %s", c.age, cert.Outcome)
		}
	}
}

// TestKeptAnswers bounds the answers that are kept.
func TestKeptAnswers(t *testing.T) {
	p := writeonce.NewPartition("a@0")
	run := func(n, size int) *writeonce.Attempt {
		try := tryOf(writeonce.NewPermit("a@0", 0, uint64(n)).String(), "hold")
		p.Step(0, try)
		p.RecordAnswer(try.Write.Key, writeonce.Answer{Status: 200, Body: make([]byte, size)})
		return try
	}
	large := run(0, writeonce.MaxKeptAnswerBytes+1)
	first := run(1, writeonce.MaxKeptAnswerBytes)
	last := first
	for i := range writeonce.MaxKeptBytes / writeonce.MaxKeptAnswerBytes {
		last = run(2+i, writeonce.MaxKeptAnswerBytes)
	}
	for what, try := range map[string]*writeonce.Attempt{"larger than is kept": large, "the oldest": first} {
		if d := p.Step(0, try); d.Problem == nil || d.Problem.Kind != problem.AnswerNotKept || d.Problem.Outcome != problem.Ran {
			t.Errorf("%s: %v", what, d.Problem)
		}
	}
	if d := p.Step(0, last); d.Answer == nil {
		t.Errorf("the last: %v", d.Problem)
	}
	full := tryOf(writeonce.NewPermit("a@0", 0, 999).String(), "hold")
	full.Write.AtCapacity = true
	if d := p.Step(0, full); d.Problem == nil || d.Problem.Kind != problem.Overloaded {
		t.Errorf("full: %v", d.Problem)
	}
}

func FuzzParseKey(f *testing.F) {
	for _, seed := range []string{"", "till-3-0001", keyAt(day, 1), "permit:a@0/1/2", "permit:a@0/-1/2", "permit:a/1/2", "permit:a@0/01/2", "permit:a@0/1", "permit://"} {
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
			t.Fatalf("%q is read as %q", text, key)
		}
	})
}
