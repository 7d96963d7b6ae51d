// Package configsnapshot keeps the configuration available after its records
// have expired. It encodes the state at an offset as a snapshot in parts that
// fit into the log's records, assembles the parts, and decides when and by which
// entry the next snapshot is written. It does no I/O.
package configsnapshot

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/fescuehub/fescuehub/pkg/configfold"
	"github.com/fescuehub/fescuehub/pkg/problem"
)

// partBytes is the size of the data in one part. The record of a part is a third
// larger, because JSON encodes bytes in base64.
const partBytes = 512 << 10

// maxParts bounds the parts of one snapshot.
const maxParts = 64

// Part is a record of the snapshot stream.
type Part struct {
	// FoldVersion is the fold version that a binary must support to use the state.
	FoldVersion int `json:"foldVersion"`
	// ID is shared by the parts of one snapshot.
	ID string `json:"id"`
	// Offset and Digest are those of the state.
	Offset int64             `json:"offset"`
	Digest configfold.Digest `json:"digest"`
	// Index is the index of the part, from 0; Parts is the number of parts.
	Index int `json:"index"`
	Parts int `json:"parts"`
	// Sum is the SHA-256 of the data of all parts, in hexadecimal.
	Sum  string `json:"sum"`
	Data []byte `json:"data"`
}

// EncodeState returns the state as compressed JSON.
func EncodeState(s configfold.State) ([]byte, error) {
	plain, err := json.Marshal(s)
	if err != nil {
		return nil, errors.Wrap(err, "encode state")
	}
	return configfold.CompressLong(plain), nil
}

// DecodeState decodes the output of EncodeState. The error kind is NewerRecord
// if this binary does not support the state's fold version, and BadRequest if
// the data is corrupt.
func DecodeState(data []byte) (configfold.State, error) {
	var s configfold.State
	plain, err := configfold.Decompress(data)
	if err == nil {
		err = json.Unmarshal(plain, &s)
	}
	if err != nil || s.Offset < 0 || s.Digest == "" {
		return configfold.State{}, problem.New(problem.BadRequest, "run the same release on every instance", "the snapshot is corrupt: %v", err)
	}
	if s.FoldVersion > configfold.FoldVersion {
		return configfold.State{}, problem.New(problem.NewerRecord, "upgrade this instance",
			"the snapshot at offset %d needs fold version %d, this binary knows %d", s.Offset, s.FoldVersion, configfold.FoldVersion)
	}
	return withMaps(s), nil
}

// withMaps replaces nil maps by empty ones.
func withMaps(s configfold.State) configfold.State {
	if s.Routes == nil {
		s.Routes = map[string]configfold.Entry{}
	}
	if s.Pools == nil {
		s.Pools = map[string]configfold.Entry{}
	}
	if s.Organisations == nil {
		s.Organisations = map[string]map[string]configfold.Entry{}
	}
	return s
}

// Split returns the records of a snapshot of the state, in order. id must be
// unique to the snapshot. The error kind is TooLarge if the snapshot needs more
// than maxParts parts.
func Split(s configfold.State, id string) ([][]byte, error) {
	data, err := EncodeState(s)
	if err != nil {
		return nil, err
	}
	template := Part{FoldVersion: s.FoldVersion, ID: id, Offset: s.Offset, Digest: s.Digest, Parts: (len(data) + partBytes - 1) / partBytes, Sum: checksum(data)}
	if template.Parts > maxParts {
		return nil, problem.New(problem.TooLarge, "remove routes or organisations from the tables", "a snapshot of %d bytes does not fit into %d parts", len(data), maxParts)
	}
	var records [][]byte
	for ; template.Index < template.Parts; template.Index++ {
		template.Data = data[template.Index*partBytes : min((template.Index+1)*partBytes, len(data))]
		record, err := json.Marshal(template)
		if err != nil {
			return nil, errors.Wrap(err, "encode snapshot")
		}
		records = append(records, record)
	}
	return records, nil
}

// LastPart returns the offset of the snapshot that the record completes, or
// false if it completes none. A writer appends the parts in order, so the last
// part implies that all others are in the log.
func LastPart(record []byte) (int64, bool) {
	var p Part
	err := json.Unmarshal(record, &p)
	return p.Offset, err == nil && p.Parts > 0 && p.Index+1 == p.Parts
}

// Assembler assembles snapshots from their parts.
type Assembler struct {
	// incomplete holds the parts of incomplete snapshots by the ID of the snapshot.
	incomplete map[string][]Part
}

// Add adds one record of the snapshot stream. It returns the state and true if
// the record completes a snapshot. The error kind is BadRequest if the record is
// not a part or the snapshot is corrupt, and NewerRecord if this binary does not
// support the snapshot's fold version.
func (a *Assembler) Add(record []byte) (configfold.State, bool, error) {
	var p Part
	if err := json.Unmarshal(record, &p); err != nil || p.Parts < 1 || p.Parts > maxParts || p.Index < 0 || p.Index >= p.Parts {
		return configfold.State{}, false, problem.New(problem.BadRequest, "run the same release on every instance", "the record is not a part of a snapshot")
	}
	if a.incomplete == nil || p.Index == 0 && len(a.incomplete) >= maxParts {
		a.incomplete = make(map[string][]Part)
	}
	if p.Index != len(a.incomplete[p.ID]) {
		return configfold.State{}, false, nil
	}
	a.incomplete[p.ID] = append(a.incomplete[p.ID], p)
	if p.Index+1 < p.Parts {
		return configfold.State{}, false, nil
	}
	state, err := join(a.incomplete[p.ID])
	delete(a.incomplete, p.ID)
	return state, err == nil, err
}

func join(parts []Part) (configfold.State, error) {
	var data []byte
	for _, p := range parts {
		data = append(data, p.Data...)
	}
	last := parts[len(parts)-1]
	if checksum(data) != last.Sum {
		return configfold.State{}, problem.New(problem.BadRequest, "nothing needs to be done; the next snapshot replaces it", "the snapshot at offset %d is corrupt", last.Offset)
	}
	return DecodeState(data)
}

func checksum(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}
