package entry

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	"github.com/fescuehub/fescuehub/pkg/answer"
	"github.com/fescuehub/fescuehub/pkg/problem"
)

// AttemptHeader carries the id of the attempt that gave the answer, or its
// start where a stream was resumed.
const AttemptHeader = "Fescue-Attempt"

// maxBufferedAnswerBytes is the size up to which an answer is held until it is whole.
// A larger one is passed on as it comes, and its connection is broken if it
// fails.
const maxBufferedAnswerBytes = 4 << 20

// answerWriter sends one answer to a caller.
type answerWriter struct {
	w          http.ResponseWriter
	control    *http.ResponseController
	stream     bool
	headerSent bool
}

func newAnswerWriter(w http.ResponseWriter, stream bool) *answerWriter {
	return &answerWriter{w: w, control: http.NewResponseController(w), stream: stream}
}

// write sends what is due of the answer.
func (a *answerWriter) write(out answer.Output) error {
	if out.Head != nil {
		a.sendHeader(*out.Head)
	}
	if len(out.Data) == 0 {
		return nil
	}
	if _, err := a.w.Write(out.Data); err != nil {
		return err
	}
	return a.control.Flush()
}

// sendHeader sends the status and the header.
func (a *answerWriter) sendHeader(head answer.Head) {
	a.headerSent = true
	header := a.w.Header()
	for name, values := range head.Header {
		header[name] = values
	}
	for _, name := range hopHeaders {
		header.Del(name)
	}
	if head.Length >= 0 {
		header.Set("Content-Length", strconv.Itoa(head.Length))
	}
	header.Set(problem.OutcomeHeader, string(problem.Ran))
	header.Set(AttemptHeader, string(head.Attempt))
	a.w.WriteHeader(head.Status)
}

// fail ends the answer with an error that the caller can see: a problem
// document, an error event in a stream, or a broken connection.
func (a *answerWriter) fail(err error) {
	if !a.headerSent {
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
