package configread

import "github.com/fescuehub/fescuehub/pkg/configfold"

// Limits of the records that a reader keeps to serve fetches of its peers.
const (
	historyRecords = 512
	historyBytes   = 512 << 10
)

// Record is a log record in a FetchResponse.
type Record struct {
	Offset int64  `json:"offset"`
	Data   []byte `json:"data"`
}

// history holds the most recently folded records, without a gap, and the digest
// before each of them.
type history struct {
	records []Record
	before  []configfold.Digest
	bytes   int
}

func (h *history) add(before configfold.Digest, offset int64, data []byte) {
	h.records = append(h.records, Record{offset, data})
	h.before = append(h.before, before)
	h.bytes += len(data)
	for len(h.records) > historyRecords || h.bytes > historyBytes && len(h.records) > 0 {
		h.bytes -= len(h.records[0].Data)
		h.records = h.records[1:]
		h.before = h.before[1:]
	}
}

// after returns the records after an offset and the digest at it. It returns
// false if the history does not reach back to the offset.
func (h *history) after(offset int64) ([]Record, configfold.Digest, bool) {
	for i, r := range h.records {
		if r.Offset == offset+1 {
			return h.records[i:], h.before[i], true
		}
	}
	return nil, "", false
}
