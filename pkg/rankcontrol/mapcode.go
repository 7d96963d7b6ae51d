package rankcontrol

import (
	"encoding/binary"
	"encoding/json"
	"slices"

	"github.com/cockroachdb/errors"
)

// maxNumber bounds a number of a packed map.
const maxNumber = 1 << 16

// MarshalJSON packs a map: between the project's processes it is sent to every
// rank at once.
func (m Map) MarshalJSON() ([]byte, error) {
	packed := binary.AppendUvarint(nil, uint64(len(m)))
	for _, ranks := range m {
		packed = binary.AppendUvarint(packed, uint64(len(ranks)))
		for _, experts := range ranks {
			packed = appendExperts(packed, experts)
		}
	}
	return json.Marshal(packed)
}

// UnmarshalJSON unpacks a map.
func (m *Map) UnmarshalJSON(data []byte) error {
	u, err := newUnpacker(data)
	if err != nil {
		return err
	}
	sets, err := u.count()
	if err != nil {
		return err
	}
	out := make(Map, 0, sets)
	for range sets {
		ranks, err := u.ranks()
		if err != nil {
			return err
		}
		out = append(out, ranks)
	}
	*m = out
	return nil
}

// MarshalJSON packs rows: they go to every rank at once, over the planner's link.
func (rows Rows) MarshalJSON() ([]byte, error) {
	packed := binary.AppendUvarint(nil, uint64(len(rows)))
	for _, row := range rows {
		packed = binary.AppendUvarint(packed, uint64(row.Set))
		packed = binary.AppendUvarint(packed, uint64(row.Rank))
		packed = appendExperts(packed, row.Experts)
	}
	return json.Marshal(packed)
}

// UnmarshalJSON unpacks rows.
func (rows *Rows) UnmarshalJSON(data []byte) error {
	u, err := newUnpacker(data)
	if err != nil {
		return err
	}
	count, err := u.count()
	if err != nil {
		return err
	}
	out := make(Rows, count)
	for i := range out {
		if out[i], err = u.row(); err != nil {
			return err
		}
	}
	*rows = out
	return nil
}

// appendExperts packs a list of experts by their distances.
func appendExperts(packed []byte, experts []int) []byte {
	packed = binary.AppendUvarint(packed, uint64(len(experts)))
	last := 0
	for _, e := range slices.Sorted(slices.Values(experts)) {
		packed = binary.AppendUvarint(packed, uint64(e-last))
		last = e
	}
	return packed
}

type unpacker struct{ rest []byte }

func newUnpacker(data []byte) (*unpacker, error) {
	u := &unpacker{}
	return u, errors.Wrap(json.Unmarshal(data, &u.rest), "unpack a map")
}

func (u *unpacker) number() (int, error) {
	v, n := binary.Uvarint(u.rest)
	if n <= 0 || v > maxNumber {
		return 0, errors.New("a packed map is torn")
	}
	u.rest = u.rest[n:]
	return int(v), nil
}

// count returns the length of a list, each item of which takes a byte at least.
func (u *unpacker) count() (int, error) {
	n, err := u.number()
	if err == nil && n > len(u.rest) {
		err = errors.New("a packed map is torn")
	}
	return n, err
}

func (u *unpacker) ranks() ([][]int, error) {
	count, err := u.count()
	if err != nil {
		return nil, err
	}
	ranks := make([][]int, count)
	for r := range ranks {
		if ranks[r], err = u.experts(); err != nil {
			return nil, err
		}
	}
	return ranks, nil
}

func (u *unpacker) row() (row Row, err error) {
	if row.Set, err = u.number(); err != nil {
		return row, err
	}
	if row.Rank, err = u.number(); err != nil {
		return row, err
	}
	row.Experts, err = u.experts()
	return row, err
}

func (u *unpacker) experts() ([]int, error) {
	count, err := u.count()
	if err != nil {
		return nil, err
	}
	var experts []int
	last := 0
	for range count {
		step, err := u.number()
		if err != nil {
			return nil, err
		}
		last += step
		experts = append(experts, last)
	}
	return experts, nil
}
