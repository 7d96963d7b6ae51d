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

// maxUnparsedBytes bounds the events kept unread. Reading them costs as much as
// all else that is done with an event, and only a broken stream needs it.
const maxUnparsedBytes = 128 << 10

// eventReader splits a stream into whole events and keeps what is needed to
// resume it.
type eventReader struct {
	partial []byte
	// unparsed holds whole events whose text has not been read yet.
	unparsed []byte
	text     strings.Builder
	// textOnly is false once an event carried more than textOnly text.
	textOnly bool
	done     bool
}

func newEventReader() eventReader { return eventReader{textOnly: true} }

// restart drops the incomplete event of an attempt that failed.
func (r *eventReader) restart() { r.partial = nil }

// add takes data and returns the events that are whole now. The error kinds
// are TruncatedAnswer where the engine reports an error, and BrokenFrame where
// an event is too large.
func (r *eventReader) add(data []byte) ([]byte, error) {
	r.partial = append(r.partial, data...)
	var whole []byte
	for {
		event, rest, found := splitEvent(r.partial)
		if !found {
			break
		}
		if bytes.HasPrefix(event, errorEvent) {
			return nil, truncatedError("the engine ended the stream with an error")
		}
		r.done = r.done || bytes.Contains(event, doneData) && isDone(event)
		whole = append(whole, event...)
		r.partial = rest
	}
	if len(r.partial) > maxEventBytes {
		return nil, problem.New(problem.BrokenFrame, "ask for a shorter answer",
			"an event of the stream is larger than %d bytes", maxEventBytes).WithOutcome(problem.NotKnown)
	}
	r.buffer(whole)
	return whole, nil
}

// buffer holds whole events until their text is needed.
func (r *eventReader) buffer(whole []byte) {
	if r.textOnly {
		r.unparsed = append(r.unparsed, whole...)
	}
	if len(r.unparsed) > maxUnparsedBytes {
		r.parseBuffered()
	}
}

// resumable reports whether the events so far carried nothing but text.
func (r *eventReader) resumable() bool {
	r.parseBuffered()
	return r.textOnly && !r.done
}

// streamText returns the text of the events so far.
func (r *eventReader) streamText() string {
	r.parseBuffered()
	return r.text.String()
}

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

// chunk is the part of an event that decides whether a stream can resume.
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

// isTextDelta reports whether a delta carries nothing but text.
func isTextDelta(delta map[string]json.RawMessage) bool {
	for name := range delta {
		if name != "role" && name != "content" {
			return false
		}
	}
	return true
}

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
