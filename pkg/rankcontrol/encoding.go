package rankcontrol

import (
	"encoding/binary"
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// maxPackedValue bounds each number in a packed map.
const maxPackedValue = 1 << 16

// MarshalJSON encodes a map in a packed form, because agents send it to all ranks at once.
func (m Map) MarshalJSON() ([]byte, error) { return json.Marshal(m.pack()) }

// pack returns the packed form of a map. It does not depend on the order of the experts of a row.
func (m Map) pack() []byte {
	packed := binary.AppendUvarint(nil, uint64(len(m)))
	for _, ranks := range m {
		packed = binary.AppendUvarint(packed, uint64(len(ranks)))
		for _, experts := range ranks {
			packed = appendExperts(packed, experts)
		}
	}
	return packed
}

// UnmarshalJSON decodes the packed form of a map.
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

// appendExperts appends a list of experts in ascending order, each as the difference from the one
// before.
func appendExperts(packed []byte, experts []int) []byte {
	packed = binary.AppendUvarint(packed, uint64(len(experts)))
	last := 0
	for _, e := range sorted(experts) {
		packed = binary.AppendUvarint(packed, uint64(e-last))
		last = e
	}
	return packed
}

type unpacker struct{ remaining []byte }

func newUnpacker(data []byte) (*unpacker, error) {
	u := &unpacker{}
	return u, errors.Wrap(json.Unmarshal(data, &u.remaining), "decode a packed map")
}

func (u *unpacker) number() (int, error) {
	v, n := binary.Uvarint(u.remaining)
	if n <= 0 || v > maxPackedValue {
		return 0, errors.New("packed map is truncated or malformed")
	}
	u.remaining = u.remaining[n:]
	return int(v), nil
}

// count returns the length of a list. It fails if the remaining bytes cannot hold the list: each
// item takes at least one byte.
func (u *unpacker) count() (int, error) {
	n, err := u.number()
	if err == nil && n > len(u.remaining) {
		err = errors.New("packed map is truncated or malformed")
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

func (u *unpacker) experts() ([]int, error) {
	count, err := u.count()
	if err != nil {
		return nil, err
	}
	var experts []int
	last := 0
	for range count {
		difference, err := u.number()
		if err != nil {
			return nil, err
		}
		last += difference
		experts = append(experts, last)
	}
	return experts, nil
}
