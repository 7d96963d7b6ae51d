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
	// MaxRecordBytes bounds a record as stored in the log.
	MaxRecordBytes = 1 << 20
	// MaxPlainBytes bounds the uncompressed JSON of a record or of a state.
	MaxPlainBytes = 64 << 20
	// compressFrom is the size in bytes from which data is compressed.
	compressFrom = 1 << 10
)

var gzipMagic = []byte{0x1f, 0x8b}

// Encode returns the record of an edit: JSON, compressed if it is long. The
// error kind is TooLarge if the record exceeds MaxRecordBytes or MaxPlainBytes.
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

// decode decodes a record. It returns faults if every binary rejects the record,
// and an error of the kind NewerRecord if this binary does not support its fold
// version. Records of all later fold versions must remain JSON objects, possibly
// compressed, with the field foldVersion.
func decode(offset int64, record []byte) (Edit, []strictjson.Fault, error) {
	plain, err := Decompress(record)
	var header struct {
		FoldVersion int `json:"foldVersion"`
	}
	if err != nil || json.Unmarshal(plain, &header) != nil || header.FoldVersion < 1 {
		return Edit{}, notAnEdit("the record is not an edit"), nil
	}
	if header.FoldVersion > FoldVersion {
		return Edit{}, nil, problem.New(problem.NewerRecord, "upgrade this instance",
			"the record at offset %d needs fold version %d, this binary knows %d", offset, header.FoldVersion, FoldVersion)
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

// CompressLong compresses data of compressFrom bytes or more and returns shorter
// data unchanged.
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

// Decompress reverses CompressLong and returns uncompressed data unchanged. It
// fails if the decompressed data exceeds MaxPlainBytes.
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
		err = errors.New("decompressed data exceeds 64 MiB")
	}
	return plain, err
}
