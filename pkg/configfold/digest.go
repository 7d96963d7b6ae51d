package configfold

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// digestBytes is the length of a digest.
const digestBytes = 16

// Digest identifies a run of records from the start of the stream: two readers
// with the same digest at the same offset have folded the same records. It is
// written in hexadecimal and is empty before the first record.
type Digest string

// Extend returns the digest with one more record.
func (d Digest) Extend(offset int64, record []byte) Digest {
	h := sha256.New()
	h.Write([]byte(d))
	_ = binary.Write(h, binary.BigEndian, offset)
	h.Write(record)
	return Digest(hex.EncodeToString(h.Sum(nil)[:digestBytes]))
}

// IsLastRecord reports whether the record is the last one that the state has folded.
func (s State) IsLastRecord(record []byte) bool {
	return s.Previous.Extend(s.Offset, record) == s.Digest
}
