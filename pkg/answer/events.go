package answer

import (
	"bytes"
	"encoding/json"
	"strings"

	"github.com/fescuehub/fescuehub/pkg/peer/engine"
	"github.com/fescuehub/fescuehub/pkg/problem"
)

// maxEventBytes bounds one server-sent event.
const maxEventBytes = 4 << 20

var (
	eventEnd     = []byte("\n\n")
	eventEndCRLF = []byte("\r\n\r\n")
	dataField    = []byte("data:")
	errorEvent   = []byte("event: error")
	doneData     = []byte("[DONE]")
)

// maxUnparsedBytes bounds the buffered events that have not been parsed. Parsing an event costs
// as much as all other work on it, and only a broken stream needs the text, so parsing is
// deferred.
const maxUnparsedBytes = 128 << 10

// eventReader splits a stream into complete events and keeps what is needed to resume it.
type eventReader struct {
	partial []byte
	// unparsed holds complete events whose text has not been extracted yet.
	unparsed []byte
	text     strings.Builder
	// textOnly is false once an event carried anything besides text.
	textOnly bool
	done     bool
}

func newEventReader() eventReader { return eventReader{textOnly: true} }

// restart drops the incomplete event of a failed attempt.
func (r *eventReader) restart() { r.partial = nil }

// add appends data and returns the events that it completes. The error kinds are
// TruncatedAnswer if the engine reports an error, and BrokenFrame if an event is too large.
func (r *eventReader) add(data []byte) ([]byte, error) {
	r.partial = append(r.partial, data...)
	var complete []byte
	for {
		event, rest, found := splitEvent(r.partial)
		if !found {
			break
		}
		if bytes.HasPrefix(event, errorEvent) {
			return nil, truncatedError("the engine ended the stream with an error")
		}
		r.done = r.done || bytes.Contains(event, doneData) && isDone(event)
		complete = append(complete, event...)
		r.partial = rest
	}
	if len(r.partial) > maxEventBytes {
		return nil, problem.New(problem.BrokenFrame, "request a shorter answer",
			"an event of the stream is larger than %d bytes", maxEventBytes).WithOutcome(problem.NotKnown)
	}
	r.buffer(complete)
	return complete, nil
}

// buffer keeps complete events for a later resume.
func (r *eventReader) buffer(complete []byte) {
	if r.textOnly {
		r.unparsed = append(r.unparsed, complete...)
	}
	if len(r.unparsed) > maxUnparsedBytes {
		r.parseBuffered()
	}
}

// resumable reports whether the stream has not ended and its events so far carried only text.
func (r *eventReader) resumable() bool {
	r.parseBuffered()
	return r.textOnly && !r.done
}

// streamText returns the text of the events so far.
func (r *eventReader) streamText() string {
	r.parseBuffered()
	return r.text.String()
}

// parseBuffered extracts the text of the buffered events.
func (r *eventReader) parseBuffered() {
	for line := range bytes.Lines(r.unparsed) {
		data, ok := bytes.CutPrefix(line, dataField)
		if ok && !bytes.Equal(bytes.TrimSpace(data), doneData) {
			r.parseChunk(data)
		}
	}
	r.unparsed = nil
}

// isDone reports whether the event is the end marker of a stream.
func isDone(event []byte) bool {
	for line := range bytes.Lines(event) {
		data, ok := bytes.CutPrefix(line, dataField)
		if ok && bytes.Equal(bytes.TrimSpace(data), doneData) {
			return true
		}
	}
	return false
}

// chunk holds the fields of an event that decide whether the stream can be resumed.
type chunk struct {
	Choices []struct {
		Index int `json:"index"`
		Delta map[string]json.RawMessage
	} `json:"choices"`
}

func (r *eventReader) parseChunk(data []byte) {
	var c chunk
	if json.Unmarshal(data, &c) != nil {
		r.textOnly = false
		return
	}
	for _, choice := range c.Choices {
		if choice.Index != 0 || !isTextDelta(choice.Delta) {
			r.textOnly = false
			return
		}
		var content string
		_ = json.Unmarshal(choice.Delta["content"], &content)
		r.text.WriteString(content)
	}
}

// isTextDelta reports whether a delta carries only text.
func isTextDelta(delta map[string]json.RawMessage) bool {
	for name := range delta {
		if name != "role" && name != "content" {
			return false
		}
	}
	return true
}

// splitEvent returns the first complete event of data, including its end, and the rest.
func splitEvent(data []byte) (event, rest []byte, found bool) {
	end := bytes.Index(data, eventEnd)
	size := len(eventEnd)
	if crlf := bytes.Index(data, eventEndCRLF); crlf >= 0 && (end < 0 || crlf < end) {
		end, size = crlf, len(eventEndCRLF)
	}
	if end < 0 {
		return nil, data, false
	}
	return data[:end+size], data[end+size:], true
}

// WithResumeText returns the body of a chat completion request that asks the engine to continue
// from the text.
func WithResumeText(body []byte, text string) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, err
	}
	encoded, err := json.Marshal(text)
	if err != nil {
		return nil, err
	}
	fields[engine.ResumeField] = encoded
	return json.Marshal(fields)
}
