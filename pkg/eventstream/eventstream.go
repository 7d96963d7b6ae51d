// Package eventstream splits a stream of server-sent events into complete events.
package eventstream

import (
	"bufio"
	"bytes"
	"io"

	"github.com/cockroachdb/errors"
)

// DefaultMaxEventBytes is the size of the largest event unless another one is set. An entry relays some hundred streams at a
// time, each of which may buffer an event.
const DefaultMaxEventBytes = 256 << 10

// ErrTruncated means that the stream ended within an event.
var ErrTruncated = errors.New("event stream truncated: it ended within an event")

// Event is one complete event.
type Event struct {
	// Raw holds the bytes of the event, including the empty line that ends it. It is valid until
	// the next call of Next.
	Raw []byte
	// ID is the event's id field; empty if it has none.
	ID string
	// Comment is true if the event has no field: it contains only comments, which keep a connection
	// open, or nothing.
	Comment bool
}

// Reader reads events from a stream.
type Reader struct {
	br       *bufio.Reader
	buf      []byte
	maxBytes int
}

// NewReader returns a reader of the events in r, none of which may be larger than maxBytes.
func NewReader(r io.Reader, maxBytes int) *Reader {
	return &Reader{br: bufio.NewReader(r), maxBytes: maxBytes}
}

// Next returns the next event. It returns io.EOF after the last complete event, ErrTruncated if the
// stream ends within an event, and otherwise the error of the stream.
func (r *Reader) Next() (Event, error) {
	r.buf = r.buf[:0]
	id, comment := "", true
	for {
		start := len(r.buf)
		if err := r.readLine(); err != nil {
			if err == io.EOF && len(r.buf) > 0 {
				return Event{}, ErrTruncated
			}
			return Event{}, err
		}
		line := bytes.TrimRight(r.buf[start:], "\r\n")
		if len(line) == 0 {
			return Event{Raw: r.buf, ID: id, Comment: comment}, nil
		}
		comment = comment && line[0] == ':'
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id = string(bytes.TrimPrefix(value, []byte(" ")))
		}
	}
}

// readLine appends one line to the buffer.
func (r *Reader) readLine() error {
	for {
		part, err := r.br.ReadSlice('\n')
		r.buf = append(r.buf, part...)
		if len(r.buf) > r.maxBytes {
			return errors.Newf("server-sent event exceeds the limit of %d bytes, which is set by --max-event-bytes", r.maxBytes)
		}
		if err != bufio.ErrBufferFull {
			return err
		}
	}
}
