// Package eventstream cuts a stream of server-sent events into whole events.
package eventstream

import (
	"bufio"
	"bytes"
	"io"

	"github.com/cockroachdb/errors"
)

// MaxEventBytes bounds one event.
const MaxEventBytes = 1 << 20

// ErrTruncated means that the stream ended within an event.
var ErrTruncated = errors.New("the stream ended within an event")

// Event is one whole event.
type Event struct {
	// Raw holds its bytes with the empty line that ends it. It is valid until
	// the next call of Next.
	Raw []byte
	// ID is the event's id; empty where it has none.
	ID string
}

// Reader reads events.
type Reader struct {
	br  *bufio.Reader
	buf []byte
}

// NewReader returns a reader of the events in r.
func NewReader(r io.Reader) *Reader { return &Reader{br: bufio.NewReader(r)} }

// Next returns the next event. The error is io.EOF after the last whole event,
// ErrTorn where bytes of another one follow it, and else the stream's error.
func (r *Reader) Next() (Event, error) {
	r.buf = r.buf[:0]
	id := ""
	for {
		start := len(r.buf)
		if err := r.line(); err != nil {
			if err == io.EOF && len(r.buf) > 0 {
				return Event{}, ErrTruncated
			}
			return Event{}, err
		}
		line := bytes.TrimRight(r.buf[start:], "\r\n")
		if len(line) == 0 {
			return Event{Raw: r.buf, ID: id}, nil
		}
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id = string(bytes.TrimPrefix(value, []byte(" ")))
		}
	}
}

// line appends one line to the buffer.
func (r *Reader) line() error {
	for {
		part, err := r.br.ReadSlice('\n')
		r.buf = append(r.buf, part...)
		if len(r.buf) > MaxEventBytes {
			return errors.Newf("an event is larger than %d bytes", MaxEventBytes)
		}
		if err != bufio.ErrBufferFull {
			return err
		}
	}
}
