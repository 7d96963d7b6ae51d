package rpc

import (
	"bufio"
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/fescuehub/fescuehub/pkg/problem"
)

// MaxMessageBytes bounds one message of a connection.
const MaxMessageBytes = 16 << 20

// lineCodec carries one message of JSON a line. It implements
// jsonrpc2.ObjectCodec.
type lineCodec struct{}

// WriteObject writes one message.
func (lineCodec) WriteObject(stream io.Writer, obj any) error {
	data, err := json.Marshal(obj)
	if err != nil {
		return errors.Wrap(err, "encode message")
	}
	_, err = stream.Write(append(data, '\n'))
	return err
}

// ReadObject reads one message. The error kinds are TooLarge and BadRequest;
// either ends the connection.
func (lineCodec) ReadObject(stream *bufio.Reader, v any) error {
	var line []byte
	for {
		part, err := stream.ReadSlice('\n')
		line = append(line, part...)
		if len(line) > MaxMessageBytes {
			return problem.New(problem.TooLarge, "run the same release on every instance", "a message is larger than %d bytes", MaxMessageBytes)
		}
		if err == nil {
			break
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
	}
	if err := json.Unmarshal(line, v); err != nil {
		return problem.New(problem.BadRequest, "run the same release on every instance", "malformed message: %v", err)
	}
	return nil
}
