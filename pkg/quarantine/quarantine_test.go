package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/fescuehub/fescuehub/pkg/gossip"
	"github.com/fescuehub/fescuehub/pkg/measure/virtualtime"
	"github.com/fescuehub/fescuehub/pkg/quarantine"
)

// clock is a simulated time.
type clock struct{ now time.Time }

func (c *clock) advance(d time.Duration) { c.now = c.now.Add(d) }

func newClock() *clock { return &clock{virtualtime.Epoch} }

// newTracker returns a tracker that has seen 200 answered requests with three subjects.
func newTracker(c *clock) *quarantine.Tracker {
	t := quarantine.New(rand.New(rand.NewPCG(1, 2)).Float64)
	for n := range 200 {
		parts := []string{firstPart, fmt.Sprint("b", n%3)}
		t.RecordRequest(c.now, "model", parts)
		t.RecordAnswered(c.now, "model", parts)
		c.advance(50 * time.Millisecond)
	}
	return t
}

// crash records that a server ended under a request with the parts.
func crash(t *quarantine.Tracker, c *clock, server string, parts ...string) {
	t.RecordRequest(c.now, "model", parts)
	t.RecordCrash(c.now, quarantine.Crash{Service: "model", Server: server, Incarnation: 1, At: c.now}, parts, true)
}

// settle lets the objection window pass, and returns the changes and what the entry tells others.
func settle(t *quarantine.Tracker, c *clock) ([]quarantine.Change, []quarantine.Message) {
	var changes []quarantine.Change
	var sent []quarantine.Message
	for range 12 {
		m, more, _ := t.Advance(c.now)
		changes = append(changes, more...)
		if !m.Empty() {
			sent = append(sent, m)
		}
		c.advance(50 * time.Millisecond)
	}
	return changes, sent
}

func refused(t *quarantine.Tracker, c *clock, parts ...string) bool {
	_, refused := t.Refused(c.now, "model", parts)
	return refused
}

// quarantinePart returns a tracker with crashingPart in quarantine.
func quarantinePart(tb testing.TB, c *clock) *quarantine.Tracker {
	tb.Helper()
	t := newTracker(c)
	for n := range 3 {
		crash(t, c, fmt.Sprint("s", n), firstPart, crashingPart)
		c.advance(2 * time.Second)
	}
	settle(t, c)
	if !refused(t, c, firstPart, crashingPart) {
		tb.Fatal("the part is not refused after three crashes")
	}
	return t
}

// TestOnlyTheCrashingPartIsRefused guards against a first part, a caller's part or an unrelated one that is
// refused in place of the part that was there at each crash, and against one crash that counts several times.
func TestOnlyTheCrashingPartIsRefused(t *testing.T) {
	for name, c := range map[string]struct {
		play func(tr *quarantine.Tracker, c *clock)
		want string
	}{
		"three crashes": {func(tr *quarantine.Tracker, c *clock) {
			for n := range 3 {
				crash(tr, c, fmt.Sprint("s", n), firstPart, "b1", crashingPart)
				c.advance(2 * time.Second)
			}
		}, crashingPart},
		"a sound part beside it is more specific": {func(tr *quarantine.Tracker, c *clock) {
			for n := range 3 {
				crash(tr, c, fmt.Sprint("s", n), crashingPart, "b1")
				c.advance(2 * time.Second)
			}
		}, crashingPart},
		"one crash seen by three requests": {func(tr *quarantine.Tracker, c *clock) {
			for range 3 {
				crash(tr, c, "s", firstPart, crashingPart)
				c.advance(time.Second)
			}
		}, ""},
		"a rack is lost": {func(tr *quarantine.Tracker, c *clock) {
			for n := range 8 {
				if n < 3 {
					crash(tr, c, fmt.Sprint("s", n), firstPart, crashingPart)
				} else {
					crash(tr, c, fmt.Sprint("s", n), firstPart, fmt.Sprint("c", n))
				}
			}
		}, ""},
		"another service": {func(tr *quarantine.Tracker, c *clock) {
			for n := range 4 {
				tr.RecordCrash(c.now, quarantine.Crash{Service: "other", Server: fmt.Sprint("s", n), At: c.now}, []string{firstPart, crashingPart}, true)
				c.advance(2 * time.Second)
			}
		}, ""},
		"answered since": {func(tr *quarantine.Tracker, c *clock) {
			for n := range 4 {
				crash(tr, c, fmt.Sprint("s", n), firstPart, crashingPart)
				c.advance(time.Second)
				tr.RecordAnswered(c.now, "model", []string{firstPart, crashingPart})
				c.advance(time.Second)
			}
		}, ""},
		"crashes of long ago": {func(tr *quarantine.Tracker, c *clock) {
			for n := range 3 {
				crash(tr, c, fmt.Sprint("s", n), firstPart, crashingPart)
				c.advance(12 * time.Minute)
			}
		}, ""},
		"nothing was ever answered": {func(tr *quarantine.Tracker, c *clock) {
			*tr = *quarantine.New(func() float64 { return 0.5 })
			for n := range 6 {
				crash(tr, c, fmt.Sprint("s", n), firstPart)
				c.advance(5 * time.Second)
			}
		}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			clock := newClock()
			tracker := newTracker(clock)
			c.play(tracker, clock)
			settle(tracker, clock)
			for _, part := range []string{firstPart, "b0", "b1", "b2", crashingPart} {
				if got := refused(tracker, clock, part); got != (part == c.want) {
					t.Errorf("part %s is refused: %v; want %q to be refused and no other", part, got, c.want)
				}
			}
		})
	}
}

// TestAnswerAtAnotherEntryClearsSuspect guards against a sound part that is refused by an entry that has not
// seen it answered: entries that have must say so within the objection window, and only a few of them.
func TestAnswerAtAnotherEntryClearsSuspect(t *testing.T) {
	c := newClock()
	var entries []*quarantine.Tracker
	random := rand.New(rand.NewPCG(5, 5))
	for range 20 {
		tr := quarantine.New(random.Float64)
		entries = append(entries, tr)
		for range 100 {
			tr.RecordRequest(c.now, "model", []string{firstPart, "b1"})
			tr.RecordAnswered(c.now, "model", []string{firstPart, "b1"})
		}
	}
	fresh := quarantine.New(random.Float64)
	entries = append(entries, fresh)
	answers := 0
	for n := range 4 {
		c.advance(2 * time.Second)
		for _, tr := range entries[:20] {
			tr.RecordAnswered(c.now, "model", []string{firstPart, "b1"})
		}
		c.advance(100 * time.Millisecond)
		crash(fresh, c, fmt.Sprint("s", n), firstPart, "b1")
		for range 70 {
			for _, from := range entries {
				m, _, _ := from.Advance(c.now)
				if m.Empty() {
					continue
				}
				answers += len(m.Answered)
				for _, to := range entries {
					if to != from {
						to.Merge(c.now, m)
					}
				}
			}
			c.advance(10 * time.Millisecond)
		}
		if refused(fresh, c, firstPart, "b1") {
			t.Fatalf("after crash %d a part is refused that 20 entries have seen answered since the last one", n+1)
		}
	}
	if maxAnswers := 4 * 2 * 4; answers > maxAnswers {
		t.Errorf("%d answers were told about 2 parts at 4 crashes, want at most %d: entries must not all tell the same", answers, maxAnswers)
	}
}

// TestTrialEndsOrExtendsQuarantine checks that a part is tried by one request at a time once its time is
// over, that an answer releases it, and that a crash refuses it for twice the time.
func TestTrialEndsOrExtendsQuarantine(t *testing.T) {
	for _, answered := range []bool{true, false} {
		c := newClock()
		tr := quarantinePart(t, c)
		parts := []string{firstPart, crashingPart}
		c.advance(119 * time.Second)
		if !refused(tr, c, parts...) {
			t.Fatal("the part is no longer refused before its quarantine has ended")
		}
		c.advance(60 * time.Second)
		if _, refused := tr.Acquire(c.now, "model", parts); refused {
			t.Fatal("the first request after the end of the quarantine is refused; it is the trial")
		}
		if _, refused := tr.Acquire(c.now, "model", parts); !refused {
			t.Error("a second request is let through during the trial")
		}
		c.advance(time.Second)
		if answered {
			tr.RecordAnswered(c.now, "model", parts)
			if refused(tr, c, parts...) || len(tr.States(c.now)) != 0 {
				t.Error("the part is refused although its trial was answered")
			}
			continue
		}
		crash(tr, c, "s9", parts...)
		states := tr.States(c.now)
		if len(states) != 1 || states[0].Strikes != 2 || states[0].Left < 4*time.Minute-time.Second {
			t.Errorf("after a failed trial: %+v; want a second strike and 4 minutes", states)
		}
	}
}

// TestQuarantineReachesEntriesThatMissedIt guards against an entry that starts late, restarts or loses
// messages and lets the part through: the periodic messages must tell it, a release must reach those that
// still hold the quarantine, and a message must neither undo a newer state nor lengthen the quarantine.
func TestQuarantineReachesEntriesThatMissedIt(t *testing.T) {
	c := newClock()
	tr := quarantinePart(t, c)
	late := quarantine.New(func() float64 { return 0.5 })
	old := tr.Periodic(c.now)
	late.Merge(c.now, old)
	if !refused(late, c, crashingPart) {
		t.Fatal("a periodic message does not tell of the part in quarantine")
	}
	until := func() time.Duration { return late.States(c.now)[0].Left }
	before := until()
	for range 100 {
		late.Merge(c.now, tr.Periodic(c.now))
		tr.Merge(c.now, late.Periodic(c.now))
	}
	if got := until(); got > before {
		t.Errorf("the quarantine grew from %v to %v by being told again", before, got)
	}
	if !tr.Lift(c.now, quarantine.Part{Service: "model", ID: crashingPart}) {
		t.Fatal("the part was not in quarantine")
	}
	late.Merge(c.now, tr.Periodic(c.now))
	if refused(late, c, crashingPart) {
		t.Error("the release did not reach an entry that held the quarantine")
	}
	late.Merge(c.now, old)
	if refused(late, c, crashingPart) {
		t.Error("an old message undid the release")
	}
	if late.Lift(c.now, quarantine.Part{Service: "model", ID: crashingPart}) {
		t.Error("a released part was released again")
	}
}

// TestRestoredRecordIsRefused guards against a part that crashes servers again after a restart of all
// entries: the record that was kept elsewhere must suffice.
func TestRestoredRecordIsRefused(t *testing.T) {
	c := newClock()
	tr := quarantine.New(func() float64 { return 0.5 })
	p := quarantine.Part{Service: "model", ID: crashingPart}
	tr.Restore(c.now, p, 3, 2)
	if s := tr.States(c.now); !refused(tr, c, crashingPart) || s[0].Version != 3 || s[0].Strikes != 2 || s[0].Left != 4*time.Minute {
		t.Errorf("restored as %+v, want version 3 with 2 strikes and 4 minutes", s)
	}
	tr.Lift(c.now, p)
	tr.Restore(c.now, p, 3, 2)
	if refused(tr, c, crashingPart) {
		t.Error("an old record undid a release")
	}
}

// TestRepeatNeedsSoundPrompt checks which requests may be sent to another server after theirs has ended.
func TestRepeatNeedsSoundPrompt(t *testing.T) {
	c := newClock()
	tr := newTracker(c)
	crash(tr, c, "s1", firstPart, "b1")
	for part, want := range map[string]bool{"b1": true, "b2": true, "new": false} {
		if got := tr.MayRepeat(c.now, "model", []string{firstPart, part}); got != want {
			t.Errorf("part %s may be repeated after a crash: %v, want %v", part, got, want)
		}
	}
	c.advance(5 * time.Second)
	crash(tr, c, "s2", firstPart, "b1")
	if tr.MayRepeat(c.now, "model", []string{firstPart, "b1"}) {
		t.Error("a part that was there at two moments since it was last answered may be repeated")
	}
}

// TestQuarantineCancelsAttempts checks that attempts with the part are cancelled when it is quarantined, and
// no others.
func TestQuarantineCancelsAttempts(t *testing.T) {
	c := newClock()
	tr := newTracker(c)
	cancelled := make(chan string, 3)
	tr.Watch("model", []string{firstPart, crashingPart}, func() { cancelled <- "crashing" })
	tr.Watch("model", []string{firstPart, "b1"}, func() { cancelled <- "sound" })
	tr.Watch("model", []string{firstPart, crashingPart}, func() { cancelled <- "ended" })()
	for n := range 3 {
		crash(tr, c, fmt.Sprint("s", n), firstPart, crashingPart)
		c.advance(2 * time.Second)
	}
	settle(tr, c)
	if got := <-cancelled; got != "crashing" {
		t.Errorf("the %s attempt was cancelled, want the one with the part", got)
	}
	time.Sleep(20 * time.Millisecond)
	if len(cancelled) > 0 {
		t.Errorf("the %s attempt was cancelled as well", <-cancelled)
	}
}

// TestMadeUpPartsStayBounded guards against a caller who sends many made-up parts, or long ones: memory and
// messages must stay bounded.
func TestMadeUpPartsStayBounded(t *testing.T) {
	const maxMessageBytes, maxPeriodicBytes = 30 << 10, 12 << 10
	c := newClock()
	tr := newTracker(c)
	for n := range 300 {
		var parts []string
		for i := range 60 {
			parts = append(parts, fmt.Sprintf("%d-%d-%s", n, i, strings.Repeat("x", 200)))
		}
		crash(tr, c, fmt.Sprint("s", n), parts...)
		if n%10 == 0 {
			crash(tr, c, fmt.Sprint("t", n), firstPart, crashingPart)
		}
		c.advance(time.Second)
		m, _, _ := tr.Advance(c.now)
		if data, err := gossip.Encode(gossip.Message{Prompts: &m}); err != nil || len(data) > maxMessageBytes {
			t.Fatalf("a message of %d bytes, want at most %d: %v", len(data), maxMessageBytes, err)
		}
	}
	p := tr.Periodic(c.now)
	if data, err := gossip.Encode(gossip.Message{Prompts: &p}); err != nil || len(data) > maxPeriodicBytes {
		t.Errorf("a periodic message takes %d bytes, want at most %d: %v", len(data), maxPeriodicBytes, err)
	}
	if !refused(tr, c, crashingPart) {
		t.Error("the part that crashes servers is not refused among the made-up ones")
	}
}

// FuzzMerge checks that no message of another entry makes a tracker fail or refuse a part that is answered.
func FuzzMerge(f *testing.F) {
	c := newClock()
	tr := quarantinePart(f, c)
	m := tr.Periodic(c.now)
	data, err := gossip.Encode(gossip.Message{Prompts: &m})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := gossip.Decode(data)
		if err != nil || m.Prompts == nil {
			return
		}
		c := newClock()
		tr := newTracker(c)
		tr.Merge(c.now, *m.Prompts)
		settle(tr, c)
		for _, s := range tr.States(c.now) {
			tr.RecordAnswered(c.now, s.Service, []string{s.ID})
		}
		if left := tr.States(c.now); len(left) > 0 {
			t.Errorf("parts are refused after they were answered: %+v", left)
		}
	})
}

// TestTrialFailsWhicheverRequestReportsTheCrash guards against a part that crashes servers again after each
// 30 s of a trial: the failure of the trial must count also if another request at the server has reported the
// crash first.
func TestTrialFailsWhicheverRequestReportsTheCrash(t *testing.T) {
	c := newClock()
	tr := quarantinePart(t, c)
	c.advance(3 * time.Minute)
	if _, refused := tr.Acquire(c.now, "model", []string{firstPart, crashingPart}); refused {
		t.Fatal("the part is not tried again after its quarantine")
	}
	crash(tr, c, "trial", firstPart, "b1")
	crash(tr, c, "trial", firstPart, crashingPart)
	c.advance(time.Minute)
	if !refused(tr, c, firstPart, crashingPart) {
		t.Error("the part may be tried again a minute after its trial has crashed a server")
	}
}
