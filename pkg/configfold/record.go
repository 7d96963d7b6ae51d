package configfold

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/fescuehub/fescuehub/pkg/problem"
	"github.com/fescuehub/fescuehub/pkg/strictjson"
)

const (
	// MaxRecordBytes bounds a record as it is in the log.
	MaxRecordBytes = 1 << 20
	// MaxPlainBytes bounds the JSON of a record or of a state.
	MaxPlainBytes = 64 << 20
	// compressFrom is the size from which on a record is compressed, in bytes.
	compressFrom = 1 << 10
)

var gzipMagic = []byte{0x1f, 0x8b}

// Encode returns the record of an edit: JSON, compressed where it is long. The
// error has the kind TooLarge.
func Encode(edit Edit) ([]byte, error) {
	plain, err := json.Marshal(edit)
	if err != nil {
		return nil, errors.Wrap(err, "encode edit")
	}
	record := CompressLong(plain)
	if len(record) > MaxRecordBytes || len(plain) > MaxPlainBytes {
		return nil, problem.New(problem.TooLarge, "apply the change in several steps, some routes at a time",
			"the edit needs %d bytes, a record holds %d", len(record), MaxRecordBytes).WithOutcome(problem.NotRun)
	}
	return record, nil
}

// decode reads a record. It returns faults where every binary rejects the
// record, and an error of kind NewerRecord where only this one cannot read it.
// Later fold versions keep the form that the first step reads: a JSON object,
// perhaps compressed, with the field foldVersion.
func decode(offset int64, record []byte) (Edit, []strictjson.Fault, error) {
	plain, err := Decompress(record)
	var form struct {
		FoldVersion int `json:"foldVersion"`
	}
	if err != nil || json.Unmarshal(plain, &form) != nil || form.FoldVersion < 1 {
		return Edit{}, notAnEdit("the record is not an edit"), nil
	}
	if form.FoldVersion > FoldVersion {
		return Edit{}, nil, problem.New(problem.NewerRecord, "upgrade this instance",
			"the record at offset %d needs fold version %d, this binary knows %d", offset, form.FoldVersion, FoldVersion)
	}
	var edit Edit
	dec := json.NewDecoder(bytes.NewReader(plain))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&edit); err != nil {
		_ = json.Unmarshal(plain, &edit)
		return Edit{ID: edit.ID}, notAnEdit("the edit has fields that its fold version does not have"), nil
	}
	return edit, nil, nil
}

func notAnEdit(detail string) []strictjson.Fault {
	return []strictjson.Fault{{Place: "record", Detail: detail, Remedy: "publish edits with fescuehub config apply"}}
}

// CompressLong compresses data that is worth it and returns other data as it
// is.
func CompressLong(data []byte) []byte {
	if len(data) < compressFrom {
		return data
	}
	var out bytes.Buffer
	w := gzip.NewWriter(&out)
	_, _ = w.Write(data)
	_ = w.Close()
	return out.Bytes()
}

// Decompress undoes CompressLong and returns other data as it is. It fails for
// data of more than MaxPlainBytes.
func Decompress(data []byte) ([]byte, error) {
	if !bytes.HasPrefix(data, gzipMagic) {
		return data, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	plain, err := io.ReadAll(io.LimitReader(r, MaxPlainBytes+1))
	if err == nil && len(plain) > MaxPlainBytes {
		err = errors.New("too large")
	}
	return plain, err
}
