package entry

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	"github.com/fescuehub/fescuehub/pkg/answer"
	"github.com/fescuehub/fescuehub/pkg/problem"
)

// AttemptHeader is the response header with the ID of the attempt that produced the answer, or, if
// the stream was resumed, of the attempt that produced its beginning.
const AttemptHeader = "Fescue-Attempt"

// maxBufferedAnswerBytes is the size up to which an answer is buffered until it is complete. A
// larger answer is forwarded as it arrives, and its connection is aborted if it fails.
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

// write sends the output of one frame and flushes it.
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

// fail ends the answer with an error that the caller can detect: a problem document if nothing
// was sent, an error event in a stream, or an aborted connection.
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
