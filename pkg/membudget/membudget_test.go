package membudget

import (
	"fmt"
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

func claim(t *testing.T, b *Budget, now time.Time, n int64, gaveWay *int) *Claim {
	t.Helper()
	c := b.Receive(now, func(Reason) { *gaveWay++ })
	if !c.Grow(n) {
		t.Fatalf("no room for %d bytes beside %d", n, b.Used())
	}
	return c
}

// TestBudgetBoundsBytes guards against more bytes than the limit, and against bytes that are returned twice: a crowd
// of 48 bodies of 4 MB at a budget of 24 MB.
func TestBudgetBoundsBytes(t *testing.T) {
	b := New(24 << 20)
	var held []*Claim
	refused := 0
	for range 48 {
		c := b.Receive(start, func(Reason) { t.Error("a claim without a stall gave way") })
		if c.Grow(4 << 20) {
			held = append(held, c)
		} else {
			refused++
		}
	}
	if len(held) != 6 || refused != 42 || b.Used() != 24<<20 {
		t.Errorf("%d held, %d refused, %d bytes used", len(held), refused, b.Used())
	}
	if b.EvictStalled(start.Add(MinStall-1), Memory) {
		t.Error("a claim gives way before it stalls")
	}
	for _, c := range held {
		c.Release()
		c.Release()
	}
	if b.Used() != 0 {
		t.Errorf("%d bytes used after all were released", b.Used())
	}
	optional := b.Receive(start, nil)
	if !optional.GrowOptional(12<<20) || optional.GrowOptional(1) || !optional.Grow(1) {
		t.Error("optional bytes do not leave half of the budget to others")
	}
	if unlimited := New(0).Receive(start, nil); !unlimited.Grow(1<<40) || !unlimited.GrowOptional(1<<40) {
		t.Error("a budget without a limit refuses")
	}
}

// TestStalledClaimGivesWay guards against ordinary requests that are refused for as long as a crowd holds the budget:
// the claim gives way whose content stalls longest, also if single bytes arrive, but none that progresses or is
// complete, and not a second one while the first has not been released.
func TestStalledClaimGivesWay(t *testing.T) {
	b := New(100 << 10)
	var trickled, progressing, complete int
	slow := claim(t, b, start, 40<<10, &trickled)
	fast := claim(t, b, start, 40<<10, &progressing)
	whole := claim(t, b, start, 20<<10, &complete)
	if !whole.Complete() {
		t.Error("a claim that did not give way counts as evicted")
	}
	later := start.Add(time.Second)
	for range 100 {
		slow.Received(later, 1)
	}
	fast.Received(later, ProgressBytes)
	if !b.EvictStalled(later, Memory) || trickled != 1 || slow.Complete() {
		t.Fatal("the stalled claim does not give way")
	}
	if !b.EvictStalled(later, Memory) || progressing+complete > 0 {
		t.Error("another claim gives way before the first has been released")
	}
	slow.Release()
	if b.EvictStalled(later, Memory) {
		t.Error("a claim that progresses or is complete gives way")
	}
}

// TestClaimWithoutBytesKeepsMemory guards against evictions that free nothing.
func TestClaimWithoutBytesKeepsMemory(t *testing.T) {
	b := New(10)
	var gaveWay int
	b.Receive(start, func(Reason) { gaveWay++ })
	later := start.Add(time.Minute)
	if b.EvictStalled(later, Memory) || gaveWay != 0 {
		t.Error("a claim without bytes gives way for memory")
	}
	if !b.EvictStalled(later, Descriptors) || gaveWay != 1 {
		t.Error("a claim without bytes does not give way for its descriptor")
	}
}

// BenchmarkEvictStalled measures the choice of the claim that gives way.
func BenchmarkEvictStalled(b *testing.B) {
	for _, claims := range []int{10, 100, 300, 1200} {
		b.Run(fmt.Sprintf("claims=%d", claims), func(b *testing.B) {
			budget := New(1 << 30)
			for range claims {
				budget.Receive(start, func(Reason) {}).Grow(1)
			}
			b.ReportAllocs()
			for b.Loop() {
				budget.EvictStalled(start, Memory)
			}
		})
	}
}

// BenchmarkClaim measures the claim of one request with a small body.
func BenchmarkClaim(b *testing.B) {
	budget := New(1 << 30)
	b.ReportAllocs()
	for b.Loop() {
		c := budget.Receive(start, nil)
		c.Grow(4096)
		c.Received(start, 2000)
		c.Complete()
		c.Release()
	}
}
