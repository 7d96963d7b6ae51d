package configread

import (
	"fmt"
	"testing"

	"github.com/fescuehub/fescuehub/pkg/configfold"
	"github.com/fescuehub/fescuehub/pkg/peer/logservice"
)

// TestServingEntryBehindBecomesNotReady guards against an entry that serves an
// outdated configuration without bound. An agent reports an offset that a serving
// entry cannot read: the entry must become not ready after MaxStaleness, and
// ready again once it has caught up. An entry that stopped at a record of a newer
// fold version must stay ready.
func TestServingEntryBehindBecomesNotReady(t *testing.T) {
	w := &world{state: configfold.Empty()}
	record := func(offset int64) logservice.Record {
		r := logservice.Record{Offset: offset, Data: w.edit("a", int(offset))}
		w.append(faultmatrixStart, appendRequest{data: r.Data})
		return r
	}
	first, second := record(0), record(1)
	for _, newer := range []bool{false, true} {
		now := faultmatrixStart
		r := New()
		r.MarkPeersQueried()
		r.ApplySnapshots(nil)
		if r.Ready(now) == nil {
			t.Fatal("ready before anything was read")
		}
		r.ApplyPage(Request{}, logservice.Page{Next: 1, Records: []logservice.Record{first}})
		if err := r.Ready(now); err != nil {
			t.Fatal(err)
		}
		r.NoteAgentOffset(now, 1)
		if newer {
			r.ApplyPage(Request{}, logservice.Page{Next: 2, Records: []logservice.Record{first, {Offset: 1, Data: []byte(`{"foldVersion":99}`)}}})
		} else {
			r.HandleLogError(fmt.Errorf("outage"))
		}
		if err := r.Ready(now.Add(MaxStaleness - 1)); err != nil {
			t.Fatal(err)
		}
		if ready := r.Ready(now.Add(MaxStaleness)) == nil; ready != newer {
			t.Fatalf("ready is %t after MaxStaleness, newer record is %t", ready, newer)
		}
		r.ApplyPage(Request{}, logservice.Page{Next: 2, Records: []logservice.Record{first, second}})
		if err := r.Ready(now.Add(2 * MaxStaleness)); err != nil || r.State().Offset != 1 {
			t.Fatal(err, r.State().Offset)
		}
	}
}
