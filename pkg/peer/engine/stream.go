package engine

import (
	"bufio"
	"encoding/json"
	"io"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/fescuehub/fescuehub/pkg/problem"
)

// StreamReader reads a streamed answer event by event.
type StreamReader struct {
	scan *bufio.Scanner
}

// NewStreamReader returns a reader of the body of a streamed answer.
func NewStreamReader(body io.Reader) *StreamReader {
	return &StreamReader{scan: bufio.NewScanner(body)}
}

// Next returns the text of the next event, and true after the end marker. A
// stream that ends without its end marker, or with an error event, is an error.
func (r *StreamReader) Next() (text string, done bool, err error) {
	for r.scan.Scan() {
		line := r.scan.Text()
		if line == DoneMarker {
			return "", true, nil
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		var event ChatAnswer
		if err := json.Unmarshal([]byte(data), &event); err != nil || len(event.Choices) == 0 || event.Choices[0].Delta == nil {
			return "", false, errors.Newf("not an event of an answer: %s", data)
		}
		return event.Choices[0].Delta.Content, false, nil
	}
	return "", false, problem.New(problem.TruncatedAnswer, "send the request again if it is idempotent",
		"the stream ended without its end marker: %v", r.scan.Err())
}
