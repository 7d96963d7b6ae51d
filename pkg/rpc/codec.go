package rpc

import (
	"bufio"
	"encoding/json"
	"io"
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuehub/fescuehub/pkg/netconn"
	"github.com/fescuehub/fescuehub/pkg/problem"
)

const (
	// MaxMessageBytes limits the size of one message.
	MaxMessageBytes = 16 << 20
	// messageTimeout limits the time from the first byte of a message to its end. The largest messages
	// take a few seconds on the slowest links.
	messageTimeout = 15 * time.Second
)

// lineCodec encodes each message as one line of JSON. It implements jsonrpc2.ObjectCodec.
type lineCodec struct {
	nc     net.Conn
	bounds *Bounds
	active *netconn.Instant
}

// WriteObject implements jsonrpc2.ObjectCodec.
func (c lineCodec) WriteObject(stream io.Writer, obj any) error {
	data, err := json.Marshal(obj)
	if err != nil {
		return errors.Wrap(err, "encode message")
	}
	if err := c.nc.SetWriteDeadline(time.Now().Add(messageTimeout)); err != nil {
		return errors.Wrap(err, "set the write deadline of a message")
	}
	_, err = stream.Write(append(data, '\n'))
	return err
}

// ReadObject implements jsonrpc2.ObjectCodec. An oversized message is an error of kind TooLarge, a
// malformed one an error of kind BadRequest. A message that is incomplete after messageTimeout is an
// error, too. Any error closes the connection.
func (c lineCodec) ReadObject(stream *bufio.Reader, v any) error {
	if _, err := stream.Peek(1); err != nil {
		return err
	}
	if err := c.nc.SetReadDeadline(time.Now().Add(messageTimeout)); err != nil {
		return errors.Wrap(err, "set the read deadline of a message")
	}
	message := c.bounds.newLine(c.nc)
	defer message.release()
	if err := readLine(stream, message, c.bounds.maxMessageBytes()); err != nil {
		return err
	}
	c.active.Set(time.Now())
	if err := c.nc.SetReadDeadline(time.Time{}); err != nil {
		return errors.Wrap(err, "clear the read deadline of a message")
	}
	if err := json.Unmarshal(message.data, v); err != nil {
		return problem.New(problem.BadRequest, "run the same release on every instance", "malformed message: %v", err)
	}
	return nil
}

// readLine reads a line of at most a number of bytes.
func readLine(stream *bufio.Reader, message *line, maxBytes int) error {
	for {
		part, err := stream.ReadSlice('\n')
		if len(message.data)+len(part) > maxBytes {
			return problem.New(problem.TooLarge, "run the same release on every instance", "message larger than %d bytes", maxBytes)
		}
		if err := message.add(part); err != nil {
			return err
		}
		if err == nil {
			return nil
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
	}
}
