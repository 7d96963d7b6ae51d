package evacuation_test

import (
	"fmt"
	"testing"

	"github.com/fescuehub/fescuehub/pkg/evacuation"
	"github.com/fescuehub/fescuehub/pkg/sharedlog"
)

func end(timeline sharedlog.Timeline, next int64) sharedlog.Position {
	return sharedlog.Position{Timeline: timeline, Next: next}
}

func record(offset int64, evacuated bool) evacuation.Record {
	return evacuation.Record{Domain: "a", Evacuated: evacuated, Offset: offset}
}

// snapshot lets a tracker read a snapshot with the given records.
func snapshot(t *evacuation.Tracker, at sharedlog.Position, records ...evacuation.Record) {
	t.BeginSnapshot(at)
	for _, r := range records {
		t.Apply(r)
	}
	t.EndSnapshot()
}

func all(string) bool { return true }

// started returns a tracker that has read a snapshot of timeline 1 up to offset 10.
func started(records ...evacuation.Record) *evacuation.Tracker {
	t := evacuation.New()
	snapshot(t, end(1, 10), records...)
	return t
}

// TestEvacuationFollowsNewestRecord guards against a domain that stays in service after its record was
// written, or stays evacuated after it was removed, whatever happens to the log between.
func TestEvacuationFollowsNewestRecord(t *testing.T) {
	for _, c := range []struct {
		name string
		do   func(t *evacuation.Tracker)
		want bool
	}{
		{"no record", func(*evacuation.Tracker) {}, false},
		{"written", func(k *evacuation.Tracker) { k.Apply(record(10, true)) }, true},
		{"removed", func(k *evacuation.Tracker) { k.Apply(record(10, true)); k.Apply(record(11, false)) }, false},
		{"written again", func(k *evacuation.Tracker) {
			k.Apply(record(10, true))
			k.Apply(record(11, false))
			k.Apply(record(12, true))
		}, true},
		{"removed without ever being written", func(k *evacuation.Tracker) { k.Apply(record(10, false)) }, false},
		{"read twice", func(k *evacuation.Tracker) {
			k.Apply(record(10, true))
			k.Apply(record(11, false))
			k.Apply(record(10, true))
		}, false},
		{"present in a compacted log", func(k *evacuation.Tracker) { k.Apply(record(10, true)); snapshot(k, end(1, 20), record(10, true)) }, true},
		{"missing from a compacted log", func(k *evacuation.Tracker) { k.Apply(record(10, true)); snapshot(k, end(1, 20)) }, false},
		{"heard of before its record is read", func(k *evacuation.Tracker) {
			k.Merge("b", []evacuation.Report{{Domain: "a", Evacuated: true, Timeline: 1, Next: 16}})
			snapshot(k, end(1, 15))
		}, true},
		{"lost by a restore", func(k *evacuation.Tracker) { k.Apply(record(10, true)); k.Restored(); snapshot(k, end(2, 5)) }, true},
		{"lost by a restore, log compacted later", func(k *evacuation.Tracker) {
			k.Apply(record(10, true))
			k.Restored()
			snapshot(k, end(2, 5))
			snapshot(k, end(2, 50))
		}, true},
		{"lost by a restore, then removed", func(k *evacuation.Tracker) {
			k.Apply(record(10, true))
			k.Restored()
			snapshot(k, end(2, 5))
			k.Apply(record(5, false))
		}, false},
		{"kept by a restore, then missing from a compacted log", func(k *evacuation.Tracker) {
			k.Apply(record(10, true))
			k.Restored()
			snapshot(k, end(2, 11), record(10, true))
			snapshot(k, end(2, 50))
		}, false},
		{"removed, back by a restore", func(k *evacuation.Tracker) {
			k.Apply(record(10, true))
			k.Apply(record(11, false))
			k.Restored()
			snapshot(k, end(2, 11), record(10, true))
			snapshot(k, end(2, 30), record(10, true))
		}, false},
		{"removed, an earlier evacuation back by a restore", func(k *evacuation.Tracker) {
			k.Apply(record(10, true))
			k.Apply(record(11, false))
			k.Apply(record(12, true))
			k.Apply(record(13, false))
			k.Restored()
			snapshot(k, end(2, 11), record(10, true))
		}, false},
		{"removed, written again after a restore", func(k *evacuation.Tracker) {
			k.Apply(record(10, true))
			k.Apply(record(11, false))
			k.Restored()
			snapshot(k, end(2, 11), record(10, true))
			k.Apply(record(11, true))
		}, true},
		{"removed, written at the offset of the earlier record after a restore", func(k *evacuation.Tracker) {
			k.Apply(record(10, true))
			k.Apply(record(11, false))
			k.Restored()
			snapshot(k, end(2, 10))
			k.Apply(record(10, true))
		}, true},
		{"restored by a log that states no new timeline, then removed", func(k *evacuation.Tracker) {
			k.Apply(record(10, true))
			k.Restored()
			snapshot(k, end(1, 5))
			snapshot(k, end(1, 6))
			k.Apply(record(6, false))
		}, false},
		{"restored by a log that states no new timeline", func(k *evacuation.Tracker) {
			k.Apply(record(10, true))
			k.Restored()
			snapshot(k, end(1, 5))
			snapshot(k, end(1, 40))
		}, true},
	} {
		k := started()
		c.do(k)
		if got := k.Evacuated("a"); got != c.want {
			t.Errorf("%s: evacuated is %v, want %v; states %+v", c.name, got, c.want, k.States())
		}
		if k.Evacuated("") || k.Evacuated("b") {
			t.Errorf("%s: another domain is evacuated", c.name)
		}
	}
}

// TestChangesAreReportedOnce guards against a change that is not logged, or logged for each copy of a record.
func TestChangesAreReportedOnce(t *testing.T) {
	k := started()
	if c := k.Apply(record(10, true)); len(c) != 1 || !c[0].Evacuated || c[0].Position != end(1, 11) {
		t.Errorf("the record gave %+v, want one change at position 11", c)
	}
	for name, changes := range map[string][]evacuation.Change{
		"same record": k.Apply(record(10, true)), "written anew": k.Apply(record(12, true)),
		"message": k.Merge("b", []evacuation.Report{{Domain: "a", Evacuated: true, Timeline: 1, Next: 13}}),
	} {
		if len(changes) > 0 {
			t.Errorf("%s: %+v, want no change", name, changes)
		}
	}
	if c := k.Merge("b", []evacuation.Report{{Domain: "a", Timeline: 1, Next: 20}}); len(c) != 1 || c[0].Evacuated || c[0].LearnedFrom != "b" {
		t.Errorf("the removal gave %+v, want one change learned from b", c)
	}
}

// TestMergeRejectsMalformedReports guards against a damaged message that evacuates a domain without a name, or
// with positions that no record can have, so that no later record could end it.
func TestMergeRejectsMalformedReports(t *testing.T) {
	for _, r := range []evacuation.Report{
		{Evacuated: true, Next: 1}, {Domain: "\xff", Evacuated: true, Next: 1}, {Domain: "a", Evacuated: true, Next: -1},
		{Domain: "a", Evacuated: true, Timeline: -1, Next: 1}, {Domain: "a", Evacuated: true, Timeline: int64(sharedlog.MaxTimeline) + 1, Next: 1},
		{Domain: "a", Evacuated: true, Next: 1, Past: make([]int64, 100)},
	} {
		k := started()
		if changes := k.Merge("b", []evacuation.Report{r}); len(changes) > 0 || len(k.States()) > 0 {
			t.Errorf("%+v was adopted", r)
		}
	}
}

// TestStaleMessagesAreCorrected guards against an evacuation that comes back from an entry that did not hear of
// its end, to an entry that has started since and finds no record in the log.
func TestStaleMessagesAreCorrected(t *testing.T) {
	stale := started()
	stale.Apply(record(10, true))
	fresh := evacuation.New()
	snapshot(fresh, end(1, 12))
	fresh.Merge("stale", stale.Reports(all))
	if fresh.Evacuated("a") {
		t.Error("an entry that has read past the record adopts the evacuation")
	}
	stale.Merge("fresh", fresh.Reports(all))
	if stale.Evacuated("a") {
		t.Error("the entry that did not hear of the end is not told")
	}
}

// TestReportsFitMessage guards against records of many names that fill the messages between entries: known
// evacuated domains come first, and the whole is bounded.
func TestReportsFitMessage(t *testing.T) {
	k := started()
	if k.Reports(all) != nil {
		t.Error("an entry without a record has something to tell")
	}
	for n := range 1000 {
		k.Apply(evacuation.Record{Domain: fmt.Sprintf("unknown-%04d", n), Evacuated: true, Offset: int64(10 + n)})
	}
	k.Apply(evacuation.Record{Domain: "zone", Evacuated: true, Offset: 2000})
	reports := k.Reports(func(d string) bool { return d == "zone" })
	if len(reports) == 0 || reports[0].Domain != "zone" || len(reports) > 150 {
		t.Errorf("%d reports, want at most 150, the known domain first", len(reports))
	}
	if !k.Evacuated("zone") || !k.Evacuated("unknown-0000") {
		t.Error("a record of the log was dropped")
	}
}

// TestMessagesCountAfterTheTimelineRises guards against an entry that ignores what others have read for as long as it
// runs, because the log once returned to an earlier position without a new timeline.
func TestMessagesCountAfterTheTimelineRises(t *testing.T) {
	k := started()
	k.Restored()
	snapshot(k, end(1, 5))
	k.Merge("front-2", []evacuation.Report{{Domain: "a", Evacuated: true, Timeline: 1, Next: 20}})
	if k.Evacuated("a") {
		t.Error("a position that cannot be compared was adopted")
	}
	k.Restored()
	snapshot(k, end(2, 20))
	k.Merge("front-2", []evacuation.Report{{Domain: "a", Evacuated: true, Timeline: 1, Next: 30}})
	if k.Evacuated("a") {
		t.Error("a position of the earlier timeline was adopted")
	}
	k.Merge("front-2", []evacuation.Report{{Domain: "a", Evacuated: true, Timeline: 2, Next: 25}})
	if !k.Evacuated("a") {
		t.Error("a record of the new timeline was ignored")
	}
}

// TestRemovedRecordDoesNotReturnByAMessage guards against a domain that is evacuated for good, because an entry that
// was cut off tells of a record that was written and removed while this one read neither: the log has been compacted.
func TestRemovedRecordDoesNotReturnByAMessage(t *testing.T) {
	for name, c := range map[string]struct {
		report evacuation.Report
		want   bool
	}{
		"already read past":  {evacuation.Report{Domain: "a", Evacuated: true, Timeline: 1, Next: 21}, false},
		"not read yet":       {evacuation.Report{Domain: "a", Evacuated: true, Timeline: 1, Next: 41}, true},
		"of a new timeline":  {evacuation.Report{Domain: "a", Evacuated: true, Timeline: 2, Next: 21}, true},
		"evacuation is over": {evacuation.Report{Domain: "a", Timeline: 1, Next: 21}, false},
	} {
		k := started(record(5, true))
		k.Apply(record(12, false))
		snapshot(k, end(1, 40))
		k.Merge("front-2", []evacuation.Report{c.report})
		if k.Evacuated("a") != c.want {
			t.Errorf("%s: evacuated %v, want %v", name, k.Evacuated("a"), c.want)
		}
		if name != "already read past" {
			continue
		}
		// The entry that was cut off learns that the record is gone.
		other := evacuation.New()
		snapshot(other, end(1, 20))
		other.Apply(record(20, true))
		if other.Merge("front-1", k.Reports(all)); other.Evacuated("a") {
			t.Error("the entry that was cut off still evacuates the domain")
		}
	}
}
