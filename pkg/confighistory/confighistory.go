// Package confighistory checks observations of the configuration in force at
// entries: the offset of an entry never decreases, and two entries at the same
// offset have the same configuration.
package confighistory

import "github.com/anishathalye/porcupine"

// Observation is one observation of the configuration in force at an entry.
type Observation struct {
	// Entry names the entry, or one incarnation of it.
	Entry string
	// Start and End delimit the observation, in nanoseconds on one clock.
	Start, End int64
	Offset     int64
	// Digest is the digest of the records up to the offset.
	Digest string
}

// noOffset is the offset of an entry that has read no record.
const noOffset = -1

// model is the sequential specification of the configuration at one entry: a
// register whose offset never decreases.
var model = porcupine.Model{
	Partition: partition,
	Init:      func() any { return int64(noOffset) },
	Step: func(state, _, out any) (bool, any) {
		offset := out.(int64)
		return offset >= state.(int64), offset
	},
}

// partition groups the operations by entry.
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

// OffsetsNeverFall reports whether the observations of each entry can be ordered,
// consistently with their times, so that the offset never decreases.
func OffsetsNeverFall(observations []Observation) bool {
	ops := make([]porcupine.Operation, len(observations))
	for i, r := range observations {
		ops[i] = porcupine.Operation{ClientId: i, Input: r.Entry, Output: r.Offset, Call: r.Start, Return: r.End}
	}
	return porcupine.CheckOperations(model, ops)
}

// DigestsAgree reports whether all observations of the same offset have the same
// digest.
func DigestsAgree(observations []Observation) bool {
	digests := make(map[int64]string)
	for _, r := range observations {
		if digest, seen := digests[r.Offset]; seen && digest != r.Digest {
			return false
		}
		digests[r.Offset] = r.Digest
	}
	return true
}
