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

// eventReader splits a stream into whole events and keeps the text that they
// carry.
type eventReader struct {
	partial []byte
	text    strings.Builder
	// resumable is false once an event carried more than plain text.
	resumable bool
	done      bool
}

func newEventReader() eventReader { return eventReader{resumable: true} }

// restart drops the incomplete event of an attempt that failed.
func (r *eventReader) restart() { r.partial = nil }

// add takes data and returns the events that are whole now. The error kinds
// are TruncatedAnswer where the engine reports an error, and BrokenFrame where
// an event is too large.
func (r *eventReader) add(data []byte) ([]byte, error) {
	r.partial = append(r.partial, data...)
	var whole []byte
	for {
		event, rest, found := cutEvent(r.partial)
		if !found {
			break
		}
		if err := r.read(event); err != nil {
			return nil, err
		}
		whole = append(whole, event...)
		r.partial = rest
	}
	if len(r.partial) > maxEventBytes {
		return nil, problem.New(problem.BrokenFrame, "ask for a shorter answer",
			"an event of the stream is larger than %d bytes", maxEventBytes).WithOutcome(problem.NotKnown)
	}
	return whole, nil
}

// read notes what one event carries.
func (r *eventReader) read(event []byte) error {
	if bytes.HasPrefix(event, errorEvent) {
		return truncated("the engine ended the stream with an error")
	}
	for line := range bytes.Lines(event) {
		data, ok := bytes.CutPrefix(line, dataField)
		if !ok {
			continue
		}
		data = bytes.TrimSpace(data)
		if bytes.Equal(data, doneData) {
			r.done = true
			continue
		}
		r.readChunk(data)
	}
	return nil
}

// chunk is the part of an event that decides whether a stream can resume.
type chunk struct {
	Choices []struct {
		Index int `json:"index"`
		Delta map[string]json.RawMessage
	} `json:"choices"`
}

func (r *eventReader) readChunk(data []byte) {
	var c chunk
	if json.Unmarshal(data, &c) != nil {
		r.resumable = false
		return
	}
	for _, choice := range c.Choices {
		if choice.Index != 0 || !plainDelta(choice.Delta) {
			r.resumable = false
			return
		}
		var content string
		_ = json.Unmarshal(choice.Delta["content"], &content)
		r.text.WriteString(content)
	}
}

// plainDelta reports whether a delta carries nothing but text.
func plainDelta(delta map[string]json.RawMessage) bool {
	for name := range delta {
		if name != "role" && name != "content" {
			return false
		}
	}
	return true
}

func cutEvent(data []byte) (event, rest []byte, found bool) {
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

// WithResumeText returns the body of a chat completion request that asks the
// engine to continue from the text.
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
