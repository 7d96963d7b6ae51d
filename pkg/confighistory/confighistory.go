// Package confighistory checks what was seen of the configuration in force at
// entries: it never goes back at an entry, and two entries at one offset have
// the same.
package confighistory

import "github.com/anishathalye/porcupine"

// Observation is one look at the configuration that an entry has in force.
type Observation struct {
	// Entry names the entry, or one life of it.
	Entry string
	// Start and End of the look are in nanoseconds on one clock.
	Start, End int64
	Offset     int64
	// Digest of the records up to the offset.
	Digest string
}

// nothing is the offset before the first record.
const nothing = -1

// model is the sequential behaviour of the configuration at one entry: a
// register whose offset never falls.
var model = porcupine.Model{
	Partition: partition,
	Init:      func() any { return int64(nothing) },
	Step: func(state, _, out any) (bool, any) {
		offset := out.(int64)
		return offset >= state.(int64), offset
	},
}

func partition(ops []porcupine.Operation) [][]porcupine.Operation {
	byEntry := make(map[string][]porcupine.Operation)
	for _, op := range ops {
		entry := op.Input.(string)
		byEntry[entry] = append(byEntry[entry], op)
	}
	out := make([][]porcupine.Operation, 0, len(byEntry))
	for _, part := range byEntry {
		out = append(out, part)
	}
	return out
}

// OffsetsNeverFall reports whether the readings of each entry can be put in an order,
// within their times, in which the offset never falls.
func OffsetsNeverFall(readings []Observation) bool {
	ops := make([]porcupine.Operation, len(readings))
	for i, r := range readings {
		ops[i] = porcupine.Operation{ClientId: i, Input: r.Entry, Output: r.Offset, Call: r.Start, Return: r.End}
	}
	return porcupine.CheckOperations(model, ops)
}

// DigestsAgree reports whether all readings of one offset have one digest.
func DigestsAgree(readings []Observation) bool {
	digests := make(map[int64]string)
	for _, r := range readings {
		if digest, seen := digests[r.Offset]; seen && digest != r.Digest {
			return false
		}
		digests[r.Offset] = r.Digest
	}
	return true
}
