package rankcontrol

import (
	"encoding/base64"
	"hash/crc32"
	"math/bits"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// Delta states a map as its difference from a base map that the receiver has. It is encoded once for
// all ranks, as packed bits: the planner sends it to each of them over one link.
//
// For each set, the changed rows follow in rank order: the distance from the last changed rank (from -1 at
// first) as a positive number, a bit for each expert of the base row, in ascending order, that is set if
// the rank drops it, one plus the number of added experts as a positive number, and the added experts
// in as many bits as the largest expert takes. The distance to the number of ranks ends the
// set. A checksum of the map precedes the sets.
type Delta string

// deltaPrefix marks the present format. It is no character of base64, in which earlier releases
// encoded changed rows, so that neither release accepts the format of the other.
const deltaPrefix = "~"

// DeltaTo returns the difference of the other map from m, or an empty string if it cannot be stated
// because the maps differ in their sizes.
func (m Map) DeltaTo(other Map) Delta {
	shape := m.Shape()
	if other.Shape() != shape || len(other) == 0 {
		return ""
	}
	w := &bitWriter{}
	w.append(uint64(other.checksum()), crc32.Size*8)
	for s, ranks := range other {
		if len(m[s]) != shape.Ranks || len(ranks) != shape.Ranks {
			return ""
		}
		last := -1
		for r := range ranks {
			base, next := sorted(m[s][r]), sorted(ranks[r])
			if slices.Equal(base, next) {
				continue
			}
			w.appendPositive(r - last)
			last = r
			w.appendRow(base, next, expertBits(shape))
		}
		w.appendPositive(shape.Ranks - last)
	}
	return Delta(deltaPrefix + base64.RawStdEncoding.EncodeToString(w.packed))
}

// WithDelta returns the map that differs from m by d. It fails if d is malformed, has another format,
// or was made from another base.
func (m Map) WithDelta(d Delta) (Map, error) {
	encoded, ok := strings.CutPrefix(string(d), deltaPrefix)
	if !ok {
		return nil, errors.New("the changes of the map have the format of another release")
	}
	packed, err := base64.RawStdEncoding.DecodeString(encoded)
	if err != nil {
		return nil, errors.Wrap(err, "decode the changes of a map")
	}
	shape := m.Shape()
	u := &bitReader{packed: packed}
	checksum := uint32(u.number(crc32.Size * 8))
	out := make(Map, len(m))
	for s := range m {
		if out[s], err = u.set(m[s], shape); err != nil {
			return nil, errors.Wrapf(err, "set %d", s)
		}
	}
	if out.checksum() != checksum {
		return nil, errors.New("the changed map has another checksum: its base differs")
	}
	return out, nil
}

// checksum returns a checksum that does not depend on the order of the experts of a row.
func (m Map) checksum() uint32 { return crc32.ChecksumIEEE(m.pack()) }

// sorted returns the experts in ascending order, without a copy if they are in that order.
func sorted(experts []int) []int {
	if slices.IsSorted(experts) {
		return experts
	}
	return slices.Sorted(slices.Values(experts))
}

// expertBits returns the bits that each expert of a shape takes.
func expertBits(s Shape) int { return bits.Len(uint(max(s.Experts-1, 1))) }

// bitWriter appends numbers to bytes, the most significant bit first.
type bitWriter struct {
	packed []byte
	used   int
}

func (w *bitWriter) append(v uint64, count int) {
	for i := count - 1; i >= 0; i-- {
		if w.used%8 == 0 {
			w.packed = append(w.packed, 0)
		}
		w.packed[w.used/8] |= byte(v>>i&1) << (7 - w.used%8)
		w.used++
	}
}

// appendPositive appends a number of at least 1 in the Elias gamma code, which is short for small
// numbers.
func (w *bitWriter) appendPositive(v int) {
	length := bits.Len(uint(v))
	w.append(0, length-1)
	w.append(uint64(v), length)
}

func (w *bitWriter) appendRow(base, next []int, width int) {
	for _, e := range base {
		dropped := uint64(1)
		if slices.Contains(next, e) {
			dropped = 0
		}
		w.append(dropped, 1)
	}
	var added []int
	for _, e := range next {
		if !slices.Contains(base, e) {
			added = append(added, e)
		}
	}
	w.appendPositive(1 + len(added))
	for _, e := range added {
		w.append(uint64(e), width)
	}
}

// bitReader reads what a bitWriter has written. After the end of the bytes it returns zeros, and exhausted
// is true.
type bitReader struct {
	packed    []byte
	used      int
	exhausted bool
}

func (u *bitReader) number(count int) uint64 {
	if count > 8*len(u.packed)-u.used {
		u.exhausted = true
		return 0
	}
	v := uint64(0)
	for range count {
		v = v<<1 | uint64(u.packed[u.used/8]>>(7-u.used%8)&1)
		u.used++
	}
	return v
}

// positive returns a number of at least 1. It is bounded by maxPackedValue; 0 means that the bytes are
// malformed.
func (u *bitReader) positive() int {
	zeros := 0
	for u.number(1) == 0 {
		zeros++
		if u.exhausted || 1<<zeros > maxPackedValue {
			u.exhausted = true
			return 0
		}
	}
	return 1<<zeros | int(u.number(zeros))
}

// set returns the rows of one set, given those of the base.
func (u *bitReader) set(base [][]int, shape Shape) ([][]int, error) {
	ranks := slices.Clone(base)
	for r := -1; ; {
		r += u.positive()
		switch {
		case u.exhausted || r > len(base):
			return nil, errors.New("the changes of the map are truncated or malformed")
		case r == len(base):
			return ranks, nil
		}
		row, err := u.row(sorted(base[r]), shape)
		if err != nil {
			return nil, errors.Wrapf(err, "rank %d", r)
		}
		ranks[r] = row
	}
}

func (u *bitReader) row(base []int, shape Shape) ([]int, error) {
	var row []int
	for _, e := range base {
		if u.number(1) == 0 {
			row = append(row, e)
		}
	}
	width := expertBits(shape)
	for added := u.positive(); added > 1 && !u.exhausted; added-- {
		row = append(row, int(u.number(width)))
	}
	slices.Sort(row)
	if u.exhausted || len(row) > 0 && row[len(row)-1] >= shape.Experts {
		return nil, errors.New("the changes of the map are truncated or malformed")
	}
	return row, nil
}
