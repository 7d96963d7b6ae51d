package engine

import (
	"bufio"
	"encoding/json"
	"io"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/fescuehub/fescuehub/pkg/problem"
)

// StreamReader reads the events of a streamed answer.
type StreamReader struct {
	scanner *bufio.Scanner
}

// NewStreamReader returns a reader of the streamed answer in body.
func NewStreamReader(body io.Reader) *StreamReader {
	return &StreamReader{scanner: bufio.NewScanner(body)}
}

// Next returns the text of the next event. done is true at the end marker. The error has the kind
// TruncatedAnswer if the stream ends without its end marker; an error event is an error as well.
func (r *StreamReader) Next() (text string, done bool, err error) {
	for r.scanner.Scan() {
		line := r.scanner.Text()
		if line == DoneMarker {
			return "", true, nil
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		var event ChatAnswer
		if err := json.Unmarshal([]byte(data), &event); err != nil || len(event.Choices) == 0 || event.Choices[0].Delta == nil {
			return "", false, errors.Newf("malformed event of a streamed answer: %s", data)
		}
		return event.Choices[0].Delta.Content, false, nil
	}
	return "", false, problem.New(problem.TruncatedAnswer, "send the request again if it is idempotent",
		"the stream ended without its end marker: %v", r.scanner.Err())
}
