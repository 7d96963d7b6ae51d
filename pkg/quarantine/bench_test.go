package quarantine_test

import (
	"fmt"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/fescuehub/fescuehub/pkg/gossip"
	"github.com/fescuehub/fescuehub/pkg/quarantine"
)

// BenchmarkRequest measures what one request costs: it is counted, checked and recorded as answered. In
// quiet times no part is refused.
func BenchmarkRequest(b *testing.B) {
	for _, quiet := range []bool{true, false} {
		b.Run(fmt.Sprintf("quiet=%t", quiet), func(b *testing.B) {
			c := newClock()
			tr := newTracker(c)
			if !quiet {
				tr = quarantinePart(b, c)
			}
			parts := []string{firstPart, "b1", "c1"}
			b.ReportAllocs()
			for n := 0; b.Loop(); n++ {
				c.advance(100 * time.Millisecond)
				suspects := append(slices.Clip(parts), fingerprint(strconv.Itoa(n)))
				tr.RecordRequest(c.now, "model", parts)
				tr.Refused(c.now, "model", suspects)
				tr.Acquire(c.now, "model", suspects)
				tr.Watch("model", suspects, func() {})()
				tr.RecordAnswered(c.now, "model", suspects)
			}
		})
	}
}

// TestBytesBetweenEntries checks what entries send each other for this: nothing in quiet times, and a bounded
// number of bytes for each crash and for a part in quarantine.
func TestBytesBetweenEntries(t *testing.T) {
	const maxCrashBytes, maxPartBytes = 1200, 100
	c := newClock()
	tr := newTracker(c)
	if m := tr.Periodic(c.now); !m.Empty() {
		t.Errorf("a quiet entry sends %+v", m)
	}
	size := func(m quarantine.Message) int {
		data, err := gossip.Encode(gossip.Message{Prompts: &m})
		if err != nil {
			t.Fatal(err)
		}
		return len(data)
	}
	for n := range 12 {
		crash(tr, c, "i-0123456789", "5c1e07a2", fmt.Sprintf("91bd3f%02x", n), fmt.Sprintf("e4402b%02x", n), fingerprint(strconv.Itoa(n)))
	}
	c.advance(100 * time.Millisecond)
	if m, _, _ := tr.Advance(c.now); len(m.Crashes) != 1 || size(m) > maxCrashBytes {
		t.Errorf("a crash with 12 requests takes %d bytes in %d reports, want at most %d in 1", size(m), len(m.Crashes), maxCrashBytes)
	}
	tr = quarantinePart(t, c)
	c.advance(time.Minute)
	if m := tr.Periodic(c.now); size(m) > maxPartBytes {
		t.Errorf("a part in quarantine adds %d bytes to each periodic message, want at most %d", size(m), maxPartBytes)
	}
	requests := emptyTracker()
	for _, server := range []string{"a", "b"} {
		endServer(requests, c, server, "x")
	}
	settle(requests, c)
	if m := requests.Periodic(c.now.Add(time.Minute)); len(m.States) != 1 || size(m) > maxPartBytes {
		t.Errorf("a request in quarantine adds %d bytes to each periodic message, want at most %d", size(m), maxPartBytes)
	}
	t.Logf("a request in quarantine: %d bytes in each periodic message", size(requests.Periodic(c.now.Add(time.Minute))))
	t.Logf("a part in quarantine: %d bytes in each periodic message", size(tr.Periodic(c.now)))
}
