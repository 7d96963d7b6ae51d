package configsnapshot

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"github.com/fescuehub/fescuehub/pkg/configfold"
	"github.com/fescuehub/fescuehub/pkg/problem"
)

var start = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

// largeState returns a state with random values, which compress badly, so that
// its snapshot has several parts.
func largeState() configfold.State {
	random := rand.New(rand.NewPCG(1, 1))
	s := configfold.Empty()
	s.Offset, s.Digest, s.FoldVersion = 7, "d", 1
	s.Organisations["r"] = make(map[string]configfold.Entry)
	for i := range 20_000 {
		name := fmt.Sprintf("o-%d", i)
		value := fmt.Sprintf(`{"name":%q,"later":"%x%x%x"}`, name, random.Uint64(), random.Uint64(), random.Uint64())
		s.Organisations["r"][name] = configfold.Entry{Revision: int64(i), Value: json.RawMessage(value)}
	}
	return s
}

func TestAssemblerRestoresSplitState(t *testing.T) {
	s := largeState()
	records, err := Split(s, "a")
	if err != nil || len(records) < 2 {
		t.Fatalf("%d parts, %v", len(records), err)
	}
	var a Assembler
	for i, r := range records {
		if len(r) > configfold.MaxRecordBytes {
			t.Fatalf("part %d has %d bytes", i, len(r))
		}
		got, ok, err := a.Add(r)
		last := i == len(records)-1
		if ok != last || err != nil || last && !reflect.DeepEqual(got, s) {
			t.Fatalf("part %d: %t %v", i, ok, err)
		}
	}
	// A missing part, or parts of another snapshot, must not yield a state.
	other, _ := Split(s, "b")
	for _, r := range [][]byte{records[0], other[1], []byte("broken")} {
		if _, ok, _ := a.Add(r); ok {
			t.Fatal("got a state from parts of different snapshots")
		}
	}
}

func TestDecodeStateRejectsNewerFoldVersion(t *testing.T) {
	s := largeState()
	s.FoldVersion = configfold.FoldVersion + 1
	data, err := EncodeState(s)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := DecodeState(data); !problem.Is(err, problem.NewerRecord) {
		t.Fatal(err)
	}
}

// TestOneEntryWritesEachSnapshot runs the schedules of 41 entries, a third of
// which have failed, for ten days without edits. Each snapshot must be written
// about once, and long before the previous one expires, even if the first writer
// in the order has failed.
func TestOneEntryWritesEachSnapshot(t *testing.T) {
	const entries, retention, check = 41, 24 * time.Hour, time.Minute
	names := make([]string, entries)
	schedules := make([]*Schedule, entries)
	for i := range names {
		names[i] = fmt.Sprintf("entry-%d", i)
		schedules[i] = NewSchedule(retention)
	}
	written, last, oldest := 0, start, time.Duration(0)
	for now := start; now.Before(start.Add(10 * 24 * time.Hour)); now = now.Add(check) {
		oldest = max(oldest, now.Sub(last))
		for i, s := range schedules {
			failed := i%3 == 0
			if failed || !s.Due(now, 5, WriterOrder(names[i], names, s.Newest())) {
				continue
			}
			written++
			last = now
			for _, other := range schedules {
				other.NoteSnapshot(now, 5, now)
			}
		}
	}
	if want := 10 * snapshotsPerRetention; written < want-10 || written > want {
		t.Errorf("%d snapshots in 10 days, about %d expected", written, want)
	}
	if oldest > retention/2 {
		t.Errorf("the newest snapshot reached an age of %v, more than half of the retention", oldest)
	}
}

// TestScheduleToleratesWrongClocks guards against a schedule that a wrong clock of the
// log delays or moves back.
func TestScheduleToleratesWrongClocks(t *testing.T) {
	s := NewSchedule(8 * time.Hour)
	s.NoteSnapshot(start, 5, start.Add(100*time.Hour))
	if s.Due(start.Add(59*time.Minute), 5, 0) || !s.Due(start.Add(time.Hour), 5, 0) {
		t.Error("a log clock that is ahead changes the schedule")
	}
	s.NoteSnapshot(start, 6, start.Add(-100*time.Hour))
	if !s.Due(start, 6, 0) {
		t.Error("no snapshot is due although the newest one is old")
	}
	s.NoteSnapshot(start, 4, start)
	if s.Newest() != 6 || s.Due(start, 5, 0) {
		t.Error("a late snapshot of a paused writer moved the schedule back")
	}
	if s.NoteSnapshot(start, 6, start); !s.Due(start, 6+MaxRecords, 0) {
		t.Error("no snapshot is due after MaxRecords records")
	}
}

// FuzzPart checks that an arbitrary record yields either no state or a valid one.
func FuzzPart(f *testing.F) {
	s := configfold.Empty()
	s.Offset, s.Digest = 0, "d"
	records, _ := Split(s, "a")
	f.Add(records[0])
	f.Add([]byte(`{"index":-1,"parts":1}`))
	f.Add([]byte(`{"index":0,"parts":1,"data":"H4sI"}`))
	f.Fuzz(func(t *testing.T, record []byte) {
		var a Assembler
		state, ok, err := a.Add(record)
		if ok && (err != nil || state.Offset < 0 || state.Pools == nil) {
			t.Fatal(state, err)
		}
	})
}
