package rankcontrol

import (
	"encoding/binary"
	"encoding/json"
	"slices"

	"github.com/cockroachdb/errors"
)

// maxExperts bounds the experts of a set in a decoded map.
const maxExperts = 1 << 16

// MarshalJSON packs a map: between the project's processes it is sent to every
// rank at once.
func (m Map) MarshalJSON() ([]byte, error) {
	packed := binary.AppendUvarint(nil, uint64(len(m)))
	for _, ranks := range m {
		packed = binary.AppendUvarint(packed, uint64(len(ranks)))
		for _, experts := range ranks {
			packed = binary.AppendUvarint(packed, uint64(len(experts)))
			last := 0
			for _, e := range slices.Sorted(slices.Values(experts)) {
				packed = binary.AppendUvarint(packed, uint64(e-last))
				last = e
			}
		}
	}
	return json.Marshal(packed)
}

// UnmarshalJSON unpacks a map.
func (m *Map) UnmarshalJSON(data []byte) error {
	var packed []byte
	if err := json.Unmarshal(data, &packed); err != nil {
		return errors.Wrap(err, "unpack a map")
	}
	r := unpacker{packed}
	sets, err := r.count()
	if err != nil {
		return err
	}
	out := make(Map, 0, sets)
	for range sets {
		ranks, err := r.ranks()
		if err != nil {
			return err
		}
		out = append(out, ranks)
	}
	*m = out
	return nil
}

type unpacker struct{ rest []byte }

func (u *unpacker) number() (int, error) {
	v, n := binary.Uvarint(u.rest)
	if n <= 0 || v > maxExperts {
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
		held, err := u.count()
		if err != nil {
			return nil, err
		}
		last := 0
		for range held {
			step, err := u.number()
			if err != nil {
				return nil, err
			}
			last += step
			ranks[r] = append(ranks[r], last)
		}
	}
	return ranks, nil
}
