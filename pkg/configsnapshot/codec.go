// Package configsnapshot keeps the configuration readable after its records
// have expired: it writes the state as of an offset in parts that fit into the
// log's records, puts them together again, and decides when and by whom the
// next snapshot is written. It does no I/O.
package configsnapshot

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/fescuehub/fescuehub/pkg/configfold"
	"github.com/fescuehub/fescuehub/pkg/problem"
)

// partBytes is the size of the data in one part. Its record is a third longer,
// because JSON carries bytes in base64.
const partBytes = 512 << 10

// maxParts bounds the parts of one snapshot.
const maxParts = 64

// Part is a record of the stream of snapshots.
type Part struct {
	// FoldVersion is what a binary must know to read the state.
	FoldVersion int `json:"foldVersion"`
	// ID is shared by the parts of one snapshot.
	ID string `json:"id"`
	// Offset and Digest of the state.
	Offset int64             `json:"offset"`
	Digest configfold.Digest `json:"digest"`
	// Index of the part, from 0, and the number of Parts.
	Index int `json:"index"`
	Parts int `json:"parts"`
	// Sum is the SHA-256 of the whole data.
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

// DecodeState reads what EncodeState wrote. The error kind is NewerRecord
// where this binary does not know the state's fold version, and BadRequest
// where the data is broken.
func DecodeState(data []byte) (configfold.State, error) {
	var s configfold.State
	plain, err := configfold.Decompress(data)
	if err == nil {
		err = json.Unmarshal(plain, &s)
	}
	if err != nil || s.Offset < 0 || s.Digest == "" {
		return configfold.State{}, problem.New(problem.BadRequest, "run the same release on every instance", "the snapshot is broken: %v", err)
	}
	if s.FoldVersion > configfold.FoldVersion {
		return configfold.State{}, problem.New(problem.NewerRecord, "upgrade this instance",
			"the snapshot at offset %d needs fold version %d, this binary knows %d", s.Offset, s.FoldVersion, configfold.FoldVersion)
	}
	return withMaps(s), nil
}

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

// Split returns the records of a snapshot of the state, in order. id must not
// be used for another snapshot.
func Split(s configfold.State, id string) ([][]byte, error) {
	data, err := EncodeState(s)
	if err != nil {
		return nil, err
	}
	form := Part{FoldVersion: s.FoldVersion, ID: id, Offset: s.Offset, Digest: s.Digest, Parts: (len(data) + partBytes - 1) / partBytes, Sum: sumOf(data)}
	if form.Parts > maxParts {
		return nil, problem.New(problem.TooLarge, "take routes or organisations out of the tables", "a snapshot of %d bytes does not fit %d parts", len(data), maxParts)
	}
	var records [][]byte
	for ; form.Index < form.Parts; form.Index++ {
		form.Data = data[form.Index*partBytes : min((form.Index+1)*partBytes, len(data))]
		record, err := json.Marshal(form)
		if err != nil {
			return nil, errors.Wrap(err, "encode snapshot")
		}
		records = append(records, record)
	}
	return records, nil
}

// LastPart returns the offset of the snapshot that the record completes. A
// writer appends the parts in order, so the last one shows that all are there.
func LastPart(record []byte) (int64, bool) {
	var p Part
	err := json.Unmarshal(record, &p)
	return p.Offset, err == nil && p.Parts > 0 && p.Index+1 == p.Parts
}

// Assembler puts the parts of snapshots together.
type Assembler struct {
	open map[string][]Part
}

// Add takes one record. It returns the state where the record completes a
// snapshot. Records that are not parts, and snapshots that are broken or that
// this binary cannot read, give the error of DecodeState.
func (a *Assembler) Add(record []byte) (configfold.State, bool, error) {
	var p Part
	if err := json.Unmarshal(record, &p); err != nil || p.Parts < 1 || p.Parts > maxParts || p.Index < 0 || p.Index >= p.Parts {
		return configfold.State{}, false, problem.New(problem.BadRequest, "run the same release on every instance", "the record is no part of a snapshot")
	}
	if a.open == nil || p.Index == 0 && len(a.open) >= maxParts {
		a.open = make(map[string][]Part)
	}
	if p.Index != len(a.open[p.ID]) {
		return configfold.State{}, false, nil
	}
	a.open[p.ID] = append(a.open[p.ID], p)
	if p.Index+1 < p.Parts {
		return configfold.State{}, false, nil
	}
	state, err := join(a.open[p.ID])
	delete(a.open, p.ID)
	return state, err == nil, err
}

func join(parts []Part) (configfold.State, error) {
	var data []byte
	for _, p := range parts {
		data = append(data, p.Data...)
	}
	last := parts[len(parts)-1]
	if sumOf(data) != last.Sum {
		return configfold.State{}, problem.New(problem.BadRequest, "nothing needs to be done; the next snapshot replaces it", "the snapshot at offset %d is broken", last.Offset)
	}
	return DecodeState(data)
}

func sumOf(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}
