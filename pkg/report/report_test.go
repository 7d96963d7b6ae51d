package report

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var epoch = time.Unix(1_700_000_000, 0)

// TestSlidingCountBounds compares the approximation with a list of all events: the count is never
// above the events of the last two window lengths, never below those of the current period, and 0
// after two window lengths without events.
func TestSlidingCountBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		window := Windows[0]
		var s slidingCount
		var times []time.Time
		now := epoch
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "seconds")) * time.Second)
			s.add(now, window, Count{Good: 1, Total: 1})
			times = append(times, now)
			current, recent := int64(0), int64(0)
			for _, at := range times {
				if at.UnixNano()/int64(window) == now.UnixNano()/int64(window) {
					current++
				}
				if now.Sub(at) < 2*window {
					recent++
				}
			}
			if got := s.read(now, window); got.Total < current || got.Total > recent || got.Good != got.Total {
				t.Fatalf("counts %+v, want between %d in the current period and %d in two window lengths", got, current, recent)
			}
		}
		if got := s.read(now.Add(2*window), window); got.Total != 0 {
			t.Fatalf("counts %+v after two window lengths without events", got)
		}
	})
}

// TestStateFollowsFailures checks that a short spike raises no alert, that a lasting failure does,
// and that the alert ends after the failure.
func TestStateFollowsFailures(t *testing.T) {
	c := NewCounter(100)
	add := func(from, to time.Duration, good int64) {
		for at := from; at < to; at += time.Minute {
			c.Add(epoch.Add(at), "s", "o", FirstToken, Count{Good: good, Total: 100})
		}
	}
	state := func(at time.Duration) State {
		return NewReport(epoch.Add(at), []Snapshot{c.Snapshot(epoch.Add(at), "e")}, 10).State
	}
	if got := state(0); got != NoData {
		t.Errorf("without events: state %s, want no-data", got)
	}
	add(0, 6*time.Hour, 99)
	if got := state(6 * time.Hour); got != OK {
		t.Errorf("99 of 100 events good: state %s, want ok", got)
	}
	add(6*time.Hour, 6*time.Hour+2*time.Minute, 0)
	if got := state(6*time.Hour + 2*time.Minute); got != OK {
		t.Errorf("all events bad for two minutes: state %s, want ok", got)
	}
	add(6*time.Hour+2*time.Minute, 7*time.Hour, 0)
	if got := state(7 * time.Hour); got != Urgent {
		t.Errorf("all events bad for an hour: state %s, want urgent", got)
	}
	add(7*time.Hour, 7*time.Hour+15*time.Minute, 100)
	if got := state(7*time.Hour + 15*time.Minute); got != Burning {
		t.Errorf("15 minutes after the failure: state %s, want burning", got)
	}
	add(7*time.Hour+15*time.Minute, 10*time.Hour, 100)
	if got := state(10 * time.Hour); got != OK {
		t.Errorf("three hours after the failure: state %s, want ok", got)
	}
	if got := state(48 * time.Hour); got != NoData {
		t.Errorf("two days without events: state %s, want no-data", got)
	}
}

// TestGradeIgnoresFewBadEvents checks that fewer than minBadEvents bad events raise no alert, also
// if all events are bad.
func TestGradeIgnoresFewBadEvents(t *testing.T) {
	few, many := Count{Total: minBadEvents - 1}, Count{Total: minBadEvents}
	if got := Grade([windowCount]Count{few, few, few}, 0.99); got != OK {
		t.Errorf("fewer than minBadEvents bad events in each window: state %s, want ok", got)
	}
	if got := Grade([windowCount]Count{many, many, many}, 0.99); got != Urgent {
		t.Errorf("minBadEvents bad events in each window: state %s, want urgent", got)
	}
}

// TestBurnRate checks that the rate is 1 at exactly the target, and 1/(1-target) if all events are
// bad.
func TestBurnRate(t *testing.T) {
	if got := (Count{Good: 95, Total: 100}).BurnRate(FirstToken.Target()); got < 0.999 || got > 1.001 {
		t.Errorf("burn rate %v, want 1", got)
	}
	if got := (Count{Total: 10}).BurnRate(0.99); got < 99.9 || got > 100.1 {
		t.Errorf("burn rate %v, want 100", got)
	}
}

// TestCounterBoundsSeries checks that organisations above the limit are counted together without
// losing events, and that idle series are dropped for new organisations. Unbounded series would
// exhaust the memory of an entry.
func TestCounterBoundsSeries(t *testing.T) {
	const limit = 50
	c := NewCounter(limit)
	for i := range 1000 {
		c.Add(epoch, "s", fmt.Sprint(i), Answers, Count{Good: 1, Total: 1})
	}
	if c.Len() > limit+1 {
		t.Errorf("%d series, want at most 51", c.Len())
	}
	report := NewReport(epoch, []Snapshot{c.Snapshot(epoch, "e")}, 1000)
	total := int64(0)
	for _, row := range report.Organisations {
		total += row.Events
	}
	if report.Services[0].Events != 1000 || total != 1000 {
		t.Errorf("service has %d events, organisations %d, want 1000 each", report.Services[0].Events, total)
	}
	later := epoch.Add(13 * time.Hour)
	c.Add(later, "s", "late", Answers, Count{Good: 1, Total: 1})
	if got := NewReport(later, []Snapshot{c.Snapshot(later, "e")}, 10).Organisations; len(got) != 1 || got[0].Organisation != "late" {
		t.Errorf("organisations %+v, want only the one added after the others were idle", got)
	}
}

// TestNewReportSumsSnapshots checks that the counts of all entries and of the shards of one entry
// are summed, and that the organisation with the highest burn rate is listed first.
func TestNewReportSumsSnapshots(t *testing.T) {
	a, b := NewCounter(10), NewCounter(10)
	a.Add(epoch, "s", "calm", FirstToken, Count{Good: 10, Total: 10})
	b.Add(epoch, "s", "calm", FirstToken, Count{Good: 10, Total: 10})
	b.Add(epoch, "s", "hurt", FirstToken, Count{Good: 5, Total: 10})
	joined := MergeSnapshots(epoch, "entry-1", []Snapshot{a.Snapshot(epoch, ""), b.Snapshot(epoch, "")})
	r := NewReport(epoch, []Snapshot{joined, b.Snapshot(epoch, "entry-2")}, 1)
	if r.Services[0].Events != 50 || len(r.Organisations) != 1 || r.Organisations[0].Organisation != "hurt" || r.Organisations[0].Events != 20 {
		t.Errorf("report %+v, want 50 events of the service and 20 of the only listed organisation", r)
	}
	if n := len(r.Services[0].History); n != historySteps || r.Services[0].History[historySteps-1].Total != 50 {
		t.Errorf("history of %d steps, want 72 with 50 events in the last one: %+v", n, r.Services[0].History)
	}
}

// TestHTMLIsSelfContained checks that the page embeds its plots, loads no external resources and
// escapes names.
func TestHTMLIsSelfContained(t *testing.T) {
	c := NewCounter(10)
	c.Add(epoch, "<script>x", "o", FirstToken, Count{Good: 1, Total: 2})
	c.Add(epoch, "caja", "", Writes, Count{Good: 1, Total: 1})
	var page strings.Builder
	if err := NewReport(epoch, []Snapshot{c.Snapshot(epoch, "e")}, 5).WriteHTML(&page); err != nil {
		t.Fatal(err)
	}
	text := page.String()
	if n := strings.Count(text, "<svg"); n != 2 {
		t.Errorf("%d plots, want 2", n)
	}
	for _, banned := range []string{"<script", "<link", "src=", "url("} {
		if strings.Contains(text, banned) {
			t.Errorf("the page contains %s", banned)
		}
	}
}

// BenchmarkAdd measures Add for known organisations, and the memory of one series.
func BenchmarkAdd(b *testing.B) {
	for _, n := range []int{10, 100, 1_000, 4_900} {
		b.Run(fmt.Sprintf("organisations=%d", n), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			c := NewCounter(2 * n)
			names := make([]string, n)
			for i := range names {
				names[i] = fmt.Sprint("organisation-", i)
				c.Add(epoch, "s", names[i], Answers, Count{Good: 1, Total: 1})
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ResetTimer()
			for i := range b.N {
				c.Add(epoch, "s", names[i%n], Answers, Count{Good: 1, Total: 1})
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "B/series")
		})
	}
}
