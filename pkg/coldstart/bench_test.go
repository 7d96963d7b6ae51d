package coldstart_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/fescuehub/fescuehub/pkg/coldstart"
	"github.com/fescuehub/fescuehub/pkg/fleet"
)

// benchmarkLimiter returns a limiter of one of several entries, and the cold servers of a service.
func benchmarkLimiter(entries, servers int) (*coldstart.Limiter, []fleet.Server) {
	l := newLimiter(entries, 18, coldstart.Bounds{Overage: 1.5, Slack: 5})
	var list []fleet.Server
	for n := range servers {
		list = append(list, fleet.Server{ID: fmt.Sprint("i-", n), Service: "s", Incarnation: 1, WarmupLeft: time.Hour})
		l.Announce(at(1), list[n])
	}
	l.SetServers(list)
	return l, list
}

// BenchmarkAdmission gives the time that a choice among 72 cold servers spends on their shares.
func BenchmarkAdmission(b *testing.B) {
	for _, entries := range []int{10, 100, 300} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			l, servers := benchmarkLimiter(entries, 72)
			b.ReportAllocs()
			for b.Loop() {
				for _, s := range servers {
					l.Admission(at(3), s)
				}
			}
		})
	}
}

// BenchmarkTake gives the time that a request to a cold server spends on its allowance.
func BenchmarkTake(b *testing.B) {
	for _, entries := range []int{10, 100, 300} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			l, servers := benchmarkLimiter(entries, 1)
			b.ReportAllocs()
			seconds := 3.0
			for b.Loop() {
				seconds += 0.1
				l.Take(at(seconds), servers[0])
			}
		})
	}
}

// BenchmarkNewEntry gives the time that the first choice among 72 cold servers takes after an entry was heard of.
func BenchmarkNewEntry(b *testing.B) {
	for _, entries := range []int{10, 100, 300} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			l, servers := benchmarkLimiter(entries, 72)
			b.ReportAllocs()
			for b.Loop() {
				l.SetBounds(coldstart.Bounds{Overage: 1.5, Slack: 5})
				for _, s := range servers {
					l.Admission(at(3), s)
				}
			}
		})
	}
}

// BenchmarkWithoutShare gives the time that an entry without a share of the only cold server needs to find out whether
// it gets a part of the room.
func BenchmarkWithoutShare(b *testing.B) {
	for _, entries := range []int{100, 300} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			l, servers := benchmarkLimiter(entries, 4)
			b.ReportAllocs()
			for b.Loop() {
				l.SetBounds(coldstart.Bounds{Overage: 1.5, Slack: 5})
				for _, s := range servers {
					l.Admission(at(3), s)
				}
			}
		})
	}
}
