package rpc

import (
	"bufio"
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/fescuehub/fescuehub/pkg/problem"
)

// MaxMessageBytes limits the size of one message.
const MaxMessageBytes = 16 << 20

// lineCodec encodes each message as one line of JSON. It implements jsonrpc2.ObjectCodec.
type lineCodec struct{}

// WriteObject implements jsonrpc2.ObjectCodec.
func (lineCodec) WriteObject(stream io.Writer, obj any) error {
	data, err := json.Marshal(obj)
	if err != nil {
		return errors.Wrap(err, "encode message")
	}
	_, err = stream.Write(append(data, '\n'))
	return err
}

// ReadObject implements jsonrpc2.ObjectCodec. An oversized message is an error of kind TooLarge, a
// malformed one an error of kind BadRequest. Any error closes the connection.
func (lineCodec) ReadObject(stream *bufio.Reader, v any) error {
	var line []byte
	for {
		part, err := stream.ReadSlice('\n')
		line = append(line, part...)
		if len(line) > MaxMessageBytes {
			return problem.New(problem.TooLarge, "run the same release on every instance", "message larger than %d bytes", MaxMessageBytes)
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
