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

// TestSlidingWindow: against a list of all events, a window never counts more
// than what the window and the period before it hold, and never less than the
// present period; and it is empty after two windows.
func TestSlidingWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		window := Windows[0]
		var s sliding
		var times []time.Time
		now := epoch
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "seconds")) * time.Second)
			s.add(now, window, Count{Good: 1, Total: 1})
			times = append(times, now)
			present, recent := int64(0), int64(0)
			for _, at := range times {
				if at.UnixNano()/int64(window) == now.UnixNano()/int64(window) {
					present++
				}
				if now.Sub(at) < 2*window {
					recent++
				}
			}
			if got := s.read(now, window); got.Total < present || got.Total > recent || got.Good != got.Total {
				t.Fatalf("counts %+v, present period %d, two windows %d", got, present, recent)
			}
		}
		if got := s.read(now.Add(2*window), window); got.Total != 0 {
			t.Fatalf("counts %+v after two windows", got)
		}
	})
}

// TestGrade: a spike alone raises nothing, a lasting failure does, and the
// state ends after its cause.
func TestGrade(t *testing.T) {
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
		t.Errorf("without events: %s", got)
	}
	add(0, 6*time.Hour, 99)
	if got := state(6 * time.Hour); got != OK {
		t.Errorf("99 of 100 in time: %s", got)
	}
	add(6*time.Hour, 6*time.Hour+2*time.Minute, 0)
	if got := state(6*time.Hour + 2*time.Minute); got != OK {
		t.Errorf("a spike of two minutes: %s", got)
	}
	add(6*time.Hour+2*time.Minute, 7*time.Hour, 0)
	if got := state(7 * time.Hour); got != Urgent {
		t.Errorf("nothing in time for an hour: %s", got)
	}
	add(7*time.Hour, 7*time.Hour+15*time.Minute, 100)
	if got := state(7*time.Hour + 15*time.Minute); got != Burning {
		t.Errorf("15 minutes after the end: %s", got)
	}
	add(7*time.Hour+15*time.Minute, 10*time.Hour, 100)
	if got := state(10 * time.Hour); got != OK {
		t.Errorf("three hours after the end: %s", got)
	}
	if got := state(48 * time.Hour); got != NoData {
		t.Errorf("two days later: %s", got)
	}
}

// TestFewEventsRaiseNothing: two bad events are no trend, however few there are.
func TestFewEventsRaiseNothing(t *testing.T) {
	few, many := Count{Total: minBad - 1}, Count{Total: minBad}
	if got := Grade([windowCount]Count{few, few, few}, 0.99); got != OK {
		t.Errorf("got %s", got)
	}
	if got := Grade([windowCount]Count{many, many, many}, 0.99); got != Urgent {
		t.Errorf("got %s", got)
	}
}

// TestBurn: the burn of exactly the target is 1.
func TestBurn(t *testing.T) {
	if got := (Count{Good: 95, Total: 100}).BurnRate(FirstToken.Target()); got < 0.999 || got > 1.001 {
		t.Errorf("burn %v", got)
	}
	if got := (Count{Total: 10}).BurnRate(0.99); got < 99.9 || got > 100.1 {
		t.Errorf("burn %v", got)
	}
}

// TestSeriesAreBounded: past the limit organisations are counted together, no
// event of a service is lost, and idle series make room.
func TestSeriesAreBounded(t *testing.T) {
	const limit = 50
	c := NewCounter(limit)
	for i := range 1000 {
		c.Add(epoch, "s", fmt.Sprint(i), Answers, Count{Good: 1, Total: 1})
	}
	if c.Len() > limit+1 {
		t.Errorf("%d series", c.Len())
	}
	report := NewReport(epoch, []Snapshot{c.Snapshot(epoch, "e")}, 1000)
	total := int64(0)
	for _, row := range report.Organisations {
		total += row.Events
	}
	if report.Services[0].Events != 1000 || total != 1000 {
		t.Errorf("service has %d events, organisations %d", report.Services[0].Events, total)
	}
	later := epoch.Add(13 * time.Hour)
	c.Add(later, "s", "late", Answers, Count{Good: 1, Total: 1})
	if got := NewReport(later, []Snapshot{c.Snapshot(later, "e")}, 10).Organisations; len(got) != 1 || got[0].Organisation != "late" {
		t.Errorf("got %+v", got)
	}
}

// TestMerge adds entries and the shards of one entry, and lists the
// organisations that burn fastest.
func TestMerge(t *testing.T) {
	a, b := NewCounter(10), NewCounter(10)
	a.Add(epoch, "s", "calm", FirstToken, Count{Good: 10, Total: 10})
	b.Add(epoch, "s", "calm", FirstToken, Count{Good: 10, Total: 10})
	b.Add(epoch, "s", "hurt", FirstToken, Count{Good: 5, Total: 10})
	joined := MergeSnapshots(epoch, "entry-1", []Snapshot{a.Snapshot(epoch, ""), b.Snapshot(epoch, "")})
	r := NewReport(epoch, []Snapshot{joined, b.Snapshot(epoch, "entry-2")}, 1)
	if r.Services[0].Events != 50 || len(r.Organisations) != 1 || r.Organisations[0].Organisation != "hurt" || r.Organisations[0].Events != 20 {
		t.Errorf("got %+v", r)
	}
	if n := len(r.Services[0].History); n != historySteps || r.Services[0].History[historySteps-1].Total != 50 {
		t.Errorf("history of %d steps: %+v", n, r.Services[0].History)
	}
}

// TestHTML: the page has its plots inside, fetches nothing, and escapes names.
func TestHTML(t *testing.T) {
	c := NewCounter(10)
	c.Add(epoch, "<script>x", "o", FirstToken, Count{Good: 1, Total: 2})
	c.Add(epoch, "caja", "", Writes, Count{Good: 1, Total: 1})
	var page strings.Builder
	if err := NewReport(epoch, []Snapshot{c.Snapshot(epoch, "e")}, 5).WriteHTML(&page); err != nil {
		t.Fatal(err)
	}
	text := page.String()
	if n := strings.Count(text, "<svg"); n != 2 {
		t.Errorf("%d plots", n)
	}
	for _, banned := range []string{"<script", "<link", "src=", "url("} {
		if strings.Contains(text, banned) {
			t.Errorf("the page contains %s", banned)
		}
	}
}

// BenchmarkAdd gives the time of one count with every organisation known.
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
