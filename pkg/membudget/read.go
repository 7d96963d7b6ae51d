package membudget

import (
	"io"

	"github.com/cockroachdb/errors"
)

// firstBufferBytes is the size of the first buffer of Read, which doubles as it fills.
const firstBufferBytes = 4 << 10

// ErrNoMemory is the error of Read if the memory for more bytes is not granted.
var ErrNoMemory = errors.New("no memory is left")

// Read reads up to limit bytes. grow is asked before the buffer grows by a number of bytes; if it returns false, Read
// returns what it has read and ErrNoMemory. It returns no error at the end of r or at the limit.
func Read(r io.Reader, limit int64, grow func(n int64) bool) ([]byte, error) {
	var data []byte
	for int64(len(data)) < limit {
		if len(data) == cap(data) {
			size := min(max(2*int64(cap(data)), firstBufferBytes), limit)
			if !grow(size - int64(cap(data))) {
				return data, ErrNoMemory
			}
			data = append(make([]byte, 0, size), data...)
		}
		n, err := r.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if err == io.EOF {
			return data, nil
		}
		if err != nil {
			return data, err
		}
	}
	return data, nil
}
