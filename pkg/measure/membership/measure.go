// Package membership measures membership in virtual time against a baseline that uses the instance
// list alone: lost and drained agents, a simultaneous start of all entries, subsets and address
// answers. It also measures the bytes of the list and of links over loopback.
package membership

import (
	"context"
	"fmt"
	"io"

	decision "github.com/fescuehub/fescuehub/pkg/membership"
)

// Tables holds the tables of one measurement.
type Tables struct {
	Cases          []Result         `json:"cases"`
	Stampede       []Stampede       `json:"restartOfEverything"`
	Subsets        []Subsets        `json:"links"`
	AddressAnswers []AddressAnswers `json:"addressAnswers"`
	ListBytes      []ListBytes      `json:"listBytes"`
	LinkBytes      []LinkBytes      `json:"linkBytes"`
}

// Run measures every table.
func Run(ctx context.Context, seed uint64) (Tables, error) {
	var t Tables
	for _, c := range Cases {
		t.Cases = append(t.Cases, run(c, true, seed), run(c, false, seed))
	}
	t.Stampede = []Stampede{startAll("at once, no back-off", eagerRules(), seed), startAll("standard", decision.DefaultRules(), seed)}
	t.Subsets = []Subsets{measureSubsets(9, 15, 3, 1), measureSubsets(40, 400, 4, 1), measureSubsets(410, 3900, 16, 13), measureSubsets(410, 11_999, 16, 13)}
	t.AddressAnswers = []AddressAnswers{measureAddressAnswers(9, 10, 3, 3), measureAddressAnswers(40, 480, 12, 4), measureAddressAnswers(410, 4900, 20, 16)}
	for _, n := range []int{25, 440, 4000, 12_410} {
		row, err := measureListBytes(ctx, n)
		if err != nil {
			return t, err
		}
		t.ListBytes = append(t.ListBytes, row)
	}
	for _, n := range []int{15, 60, 176} {
		row, err := measureLinkBytes(ctx, n)
		if err != nil {
			return t, err
		}
		t.LinkBytes = append(t.LinkBytes, row)
	}
	return t, nil
}

// Write prints the tables.
func (t Tables) Write(out io.Writer) {
	fmt.Fprintln(out, "| case | policy | last work to it, s | requests | noticed | without a replica | work again after, s |\n|---|---|---|---|---|---|---|")
	for _, r := range t.Cases {
		fmt.Fprintf(out, "| %s | %s | %.2f | %d | %d | %d | %.2f |\n", r.Case, r.Policy, r.LastAttempt, r.Requests, r.Retried, r.Unserved, r.RecoveredAfter)
	}
	fmt.Fprintln(out, "\n| all start at once | dials in the first 100 ms | most at one replica in 100 ms | dials | all linked, s |\n|---|---|---|---|---|")
	for _, s := range t.Stampede {
		fmt.Fprintf(out, "| %s | %d | %d | %d | %.1f |\n", s.Rules, s.DialsInFirstWindow, s.MaxDialsPerReplica, s.TotalDials, s.AllLinkedSeconds)
	}
	fmt.Fprintln(out, "\n| entries | replicas | pools | entries a replica | links an entry | mean | replica load max/mean | 99th/mean | links moved when one entry goes | heartbeat, ms |\n|---|---|---|---|---|---|---|---|---|---|")
	for _, l := range t.Subsets {
		fmt.Fprintf(out, "| %d | %d | %d | %d to %d | %d to %d | %.1f | %.3f | %.3f | %.4f | %d |\n", l.Entries, l.Replicas, l.Pools,
			l.EntriesPerReplica[0], l.EntriesPerReplica[1], l.LinksPerEntry[0], l.LinksPerEntry[1], l.MeanLinks, l.MaxLoadRatio, l.LoadRatioP99, l.MovedShare, l.HeartbeatMS)
	}
	fmt.Fprintln(out, "\n| entries | organisations | answers changed when one entry goes | names changed | first places max/mean | most names |\n|---|---|---|---|---|---|")
	for _, a := range t.AddressAnswers {
		fmt.Fprintf(out, "| %d | %d | %.4f | %.4f | %.2f | %d |\n", a.Entries, a.Organisations, a.ChangedShare, a.NamesChangedShare, a.MaxFirstRatio, a.MaxNames)
	}
	fmt.Fprintln(out, "\n| instances | whole list, bytes | unchanged | one change | whole each second, bytes/s | changes each second, bytes/s |\n|---|---|---|---|---|---|")
	for _, l := range t.ListBytes {
		fmt.Fprintf(out, "| %d | %d | %d | %d | %.0f | %.0f |\n", l.Instances, l.Whole, l.Unchanged, l.OneChange, l.FullReadPerSecond, l.IncrementalPerSecond)
	}
	fmt.Fprintln(out, "\n| links | hello and answer, bytes a link | status | heartbeat | load on a frame | memory of both ends, bytes |\n|---|---|---|---|---|---|")
	for _, l := range t.LinkBytes {
		fmt.Fprintf(out, "| %d | %.0f | %.0f | %.0f | %.0f | %.0f |\n", l.Links, l.Hello, l.Status, l.Heartbeat, l.FrameLoad, l.Memory)
	}
}
