package configread

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/fescuehub/fescuehub/pkg/configfold"
)

// FuzzTakeFetched gives a reader any answer of a peer. It must not go back,
// nor skip a record.
func FuzzTakeFetched(f *testing.F) {
	w := &world{state: configfold.Empty()}
	record := w.edit("a", 1)
	good, _ := json.Marshal(FetchResponse{Head: Head{Offset: 1, Digest: "d"}, Records: []Record{{Offset: 1, Data: record}}})
	f.Add(good)
	f.Add([]byte(`{"head":{"offset":9,"digest":""},"state":"H4sI"}`))
	f.Add([]byte(`{"head":{"offset":-5},"records":[{"offset":3,"data":""},{"offset":1}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var reply FetchResponse
		if json.Unmarshal(data, &reply) != nil {
			return
		}
		r := New()
		r.fold(0, record)
		before := r.State()
		r.ApplyFetchResponse(time.Time{}, "peer", FetchRequest{before.Offset, before.Digest}, reply)
		after := r.State()
		if after.Offset < before.Offset || reply.State == nil && after.Offset > before.Offset+int64(len(reply.Records)) {
			t.Fatalf("from offset %d to %d", before.Offset, after.Offset)
		}
		if _, err := r.ServeFetch(FetchRequest{reply.Head.Offset, reply.Head.Digest}); err == nil {
			r.NotePeerHead(time.Time{}, "peer", reply.Head)
		}
	})
}
