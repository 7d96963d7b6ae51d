package routing_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/fescuehub/fescuehub/pkg/routing"
)

var now = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

// pool returns n replicas that report the same load and step time.
func pool(n int) []routing.Replica {
	out := make([]routing.Replica, n)
	for i := range out {
		out[i] = routing.Replica{
			Name: fmt.Sprintf("replica-%d", i), FailureDomain: "a", Concurrency: 16, FirstSeen: now.Add(-time.Hour),
			Load: routing.Load{Running: 4, StepMS: 20}, LoadAt: now,
		}
	}
	return out
}

// selections returns how often each replica is selected in 1000 requests.
func selections(s routing.Selector, request routing.Request, replicas []routing.Replica) map[string]int {
	out := make(map[string]int)
	for i := range 1000 {
		if r, ok := s.Select(now, request, replicas, uint64(i)*0x9e3779b97f4a7c15); ok {
			out[r.Name]++
		}
	}
	return out
}

// TestStandardSelector checks which replicas the default selector chooses and avoids. Each case
// changes some of eight equal replicas.
func TestStandardSelector(t *testing.T) {
	owner := func(request routing.Request) string {
		for name := range selections(routing.Standard(), request, pool(8)) {
			return name
		}
		return ""
	}
	prefix := routing.Request{FailureDomain: "a", PrefixHash: 77}
	plain := routing.Request{FailureDomain: "a"}
	tests := []struct {
		name    string
		request routing.Request
		change  func([]routing.Replica)
		// never lists replicas that must not be chosen; only names the replica that must always be
		// chosen.
		never []string
		only  string
	}{
		{"a draining replica is not chosen", plain, func(rs []routing.Replica) { rs[0].Draining = true }, []string{"replica-0"}, ""},
		{"a replica that was tried is not chosen", routing.Request{FailureDomain: "a", Exclude: []string{"replica-3"}}, nil, []string{"replica-3"}, ""},
		{"a stalled group is not chosen although its queue is short", plain, func(rs []routing.Replica) {
			rs[0].Load = routing.Load{StepMS: 200}
		}, []string{"replica-0"}, ""},
		{"a replica that fails repeatedly is not chosen", plain, func(rs []routing.Replica) {
			rs[0].Failures, rs[0].FailedAt = 3, now
		}, []string{"replica-0"}, ""},
		{"a new incarnation at its limit is not chosen", plain, func(rs []routing.Replica) {
			rs[0].FirstSeen, rs[0].Load, rs[0].InFlight = now, routing.Load{}, 1
		}, []string{"replica-0"}, ""},
		{"a prefix stays with its owner", prefix, nil, nil, owner(prefix)},
		{"a prefix moves away from an overloaded owner", prefix, func(rs []routing.Replica) {
			for i := range rs {
				if rs[i].Name == owner(prefix) {
					rs[i].Load.Waiting = 60
				}
			}
		}, []string{owner(prefix)}, ""},
		{"another failure domain is not used while the entry's own has capacity", plain, func(rs []routing.Replica) {
			rs[0].FailureDomain, rs[0].RTT = "b", 20*time.Millisecond
			rs[0].Load.Running = 5
		}, []string{"replica-0"}, ""},
		{"another failure domain is used before the entry's own is full", plain, func(rs []routing.Replica) {
			for i := range rs[1:] {
				rs[i+1].Load.Running = 12
			}
			rs[0].FailureDomain, rs[0].RTT = "b", 20*time.Millisecond
		}, nil, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			rs := pool(8)
			if tt.change != nil {
				tt.change(rs)
			}
			got := selections(routing.Standard(), tt.request, rs)
			for _, name := range tt.never {
				if got[name] > 0 {
					t.Errorf("%s was chosen %d times", name, got[name])
				}
			}
			if tt.only != "" && got[tt.only] != 1000 {
				t.Errorf("%s got %d of 1000 requests, want all", tt.only, got[tt.only])
			}
			if len(got) == 0 {
				t.Error("no replica was chosen")
			}
			if tt.name == "another failure domain is used before the entry's own is full" && got["replica-0"] == 0 {
				t.Error("replica-0 was not chosen")
			}
		})
	}
}

// TestEjectionKeepsHalf checks that a fault that all replicas share does not empty the pool.
func TestEjectionKeepsHalf(t *testing.T) {
	rs := pool(4)
	for i := range rs {
		rs[i].Failures, rs[i].FailedAt = 5, now
	}
	if got := selections(routing.Standard(), routing.Request{}, rs); len(got) != 4 {
		t.Fatalf("only %v are chosen, want all 4 replicas", got)
	}
}

// TestOldLoadReportLosesWeight checks that a replica without a recent load report is assumed to have
// the mean load of the candidates, and so is no longer preferred.
func TestOldLoadReportLosesWeight(t *testing.T) {
	rs := pool(8)
	rs[0].Load.Running = 0
	fresh := selections(routing.Standard(), routing.Request{FailureDomain: "a"}, rs)["replica-0"]
	for i := range rs {
		rs[i].LoadAt = time.Time{}
	}
	never := selections(routing.Standard(), routing.Request{FailureDomain: "a"}, rs)["replica-0"]
	if fresh <= 200 || never >= fresh/2+50 {
		t.Fatalf("replica-0 got %d of 1000 with a fresh report and %d without one", fresh, never)
	}
}

func nodes(kind string, n, domains int) []routing.Node {
	out := make([]routing.Node, n)
	for i := range out {
		out[i] = routing.Node{Name: fmt.Sprintf("%s-%d", kind, i), FailureDomain: fmt.Sprintf("domain-%d", i%domains)}
	}
	return out
}

// links returns the replicas that each entry connects to.
func links(entries, replicas []routing.Node) map[string]map[string]bool {
	out := make(map[string]map[string]bool)
	for _, e := range entries {
		out[e.Name] = make(map[string]bool)
		for _, r := range routing.Subset(e, entries, replicas) {
			out[e.Name][r.Name] = true
		}
	}
	return out
}

func TestSubsetsCoverEveryReplicaEqually(t *testing.T) {
	for _, size := range []struct{ entries, replicas, domains int }{{9, 12, 3}, {9, 3, 3}, {40, 400, 4}, {410, 923, 16}} {
		entries, replicas := nodes("entry", size.entries, size.domains), nodes("replica", size.replicas, size.domains)
		covered := make(map[string]int)
		for _, l := range links(entries, replicas) {
			if len(l) == 0 {
				t.Fatalf("%v: an entry has no links", size)
			}
			for name := range l {
				covered[name]++
			}
		}
		want := routing.EntriesPerReplica(size.entries, size.replicas)
		for _, r := range replicas {
			if covered[r.Name] != want {
				t.Fatalf("%v: %s is reached by %d entries, not %d", size, r.Name, covered[r.Name], want)
			}
		}
	}
}

// TestSubsetChurn checks that the removal of one entry moves only the links that it had.
func TestSubsetChurn(t *testing.T) {
	entries, replicas := nodes("entry", 100, 4), nodes("replica", 400, 4)
	before, after := links(entries, replicas), links(entries[1:], replicas)
	moved := 0
	for name, l := range after {
		for r := range l {
			if !before[name][r] {
				moved++
			}
		}
		for r := range before[name] {
			if !l[r] {
				t.Fatalf("%s lost its link to %s", name, r)
			}
		}
	}
	if lost := len(before["entry-0"]); moved != lost {
		t.Fatalf("%d links moved, but the removed entry had %d", moved, lost)
	}
}

// BenchmarkSelect measures one selection at several subset sizes.
func BenchmarkSelect(b *testing.B) {
	for _, n := range []int{6, 12, 24, 48, 96} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			rs, s := pool(n), routing.Standard()
			request := routing.Request{FailureDomain: "a", Organisation: "o"}
			b.ReportAllocs()
			for i := range b.N {
				request.PrefixHash = uint64(i + 1)
				s.Select(now, request, rs, uint64(i))
			}
		})
	}
}

// BenchmarkSubset measures the computation of one entry's links to all pools, up to the target
// size.
func BenchmarkSubset(b *testing.B) {
	for _, n := range []int{400, 4000, 12_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			entries, replicas := nodes("entry", 410, 16), nodes("replica", n, 16)
			for range b.N {
				for at := 0; at < n; at += n / 13 {
					routing.Subset(entries[0], entries, replicas[at:min(n, at+n/13)])
				}
			}
		})
	}
}
