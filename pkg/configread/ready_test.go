package configread

import (
	"fmt"
	"testing"

	"github.com/fescuehub/fescuehub/pkg/configfold"
	"github.com/fescuehub/fescuehub/pkg/peer/logservice"
)

// TestServingEntryThatCannotCatchUp follows an entry that serves and learns
// from an agent of an offset that it cannot get: it is not ready after the
// bound, and ready again once it has caught up. One that stopped at a newer
// record keeps serving.
func TestServingEntryThatCannotCatchUp(t *testing.T) {
	w := &world{state: configfold.Empty()}
	record := func(offset int64) logservice.Record {
		r := logservice.Record{Offset: offset, Data: w.edit("a", int(offset))}
		w.append(faultmatrixStart, appendMsg{data: r.Data})
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
			t.Fatalf("ready is %t after the bound, newer record is %t", ready, newer)
		}
		r.ApplyPage(Request{}, logservice.Page{Next: 2, Records: []logservice.Record{first, second}})
		if err := r.Ready(now.Add(2 * MaxStaleness)); err != nil || r.State().Offset != 1 {
			t.Fatal(err, r.State().Offset)
		}
	}
}
