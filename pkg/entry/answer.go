package entry

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	"github.com/fescuehub/fescuehub/pkg/frame"
	"github.com/fescuehub/fescuehub/pkg/ident"
	"github.com/fescuehub/fescuehub/pkg/problem"
)

// AttemptHeader carries the id of the attempt that gave the answer.
const AttemptHeader = "Fescue-Attempt"

// bufferedAnswerBytes is the size up to which an answer is held until it is
// whole. A larger one is passed on as it comes, and its connection is broken
// if it fails.
const bufferedAnswerBytes = 4 << 20

// answerWriter sends one answer to a caller. Nothing of an attempt reaches the
// caller before commit, so until then another attempt may take its place.
type answerWriter struct {
	w         http.ResponseWriter
	control   *http.ResponseController
	stream    bool
	committed bool
	status    int
	header    http.Header
	attempt   ident.AttemptID
	held      []byte
}

func newAnswerWriter(w http.ResponseWriter, stream bool) *answerWriter {
	return &answerWriter{w: w, control: http.NewResponseController(w), stream: stream}
}

// reset forgets the attempt before, of which nothing has been sent.
func (a *answerWriter) reset(attempt ident.AttemptID) {
	a.attempt = attempt
	a.status = 0
	a.header = nil
	a.held = nil
}

// add takes the next frame of the answer.
func (a *answerWriter) add(f frame.Frame) error {
	if f.Status != 0 {
		a.status = f.Status
		a.header = f.Header
	}
	if a.passThrough(f) {
		return a.send(f.Data)
	}
	a.held = append(a.held, f.Data...)
	if len(a.held) > bufferedAnswerBytes {
		held := a.held
		a.held = nil
		return a.send(held)
	}
	return nil
}

// passThrough reports whether data goes to the caller as it comes.
func (a *answerWriter) passThrough(f frame.Frame) bool {
	return len(f.Data) > 0 && (a.committed || a.stream && a.status == http.StatusOK)
}

// finish sends what is held of a whole answer.
func (a *answerWriter) finish() error {
	if !a.committed {
		a.w.Header().Set("Content-Length", strconv.Itoa(len(a.held)))
	}
	if err := a.send(a.held); err != nil {
		return err
	}
	return nil
}

// fail ends the answer with an error that the caller can see: a problem
// document, an error event in a stream, or a broken connection.
func (a *answerWriter) fail(err error) {
	if !a.committed {
		problem.Write(a.w, err)
		return
	}
	if !a.stream {
		panic(http.ErrAbortHandler)
	}
	data, _ := json.Marshal(problem.Of(err).Document())
	fmt.Fprintf(a.w, "event: error\ndata: %s\n\n", data)
	_ = a.control.Flush()
}

func (a *answerWriter) send(data []byte) error {
	a.commit()
	if len(data) == 0 {
		return nil
	}
	if _, err := a.w.Write(data); err != nil {
		return err
	}
	return a.control.Flush()
}

// commit sends the status and the header.
func (a *answerWriter) commit() {
	if a.committed {
		return
	}
	a.committed = true
	header := a.w.Header()
	for name, values := range a.header {
		header[name] = values
	}
	for _, name := range hopHeaders {
		if name != "Content-Length" {
			header.Del(name)
		}
	}
	if a.stream {
		header.Del("Content-Length")
	}
	header.Set(problem.OutcomeHeader, string(problem.Ran))
	header.Set(AttemptHeader, string(a.attempt))
	a.w.WriteHeader(a.status)
}
