package agentlink

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"

	"github.com/fescuehub/fescuehub/pkg/frame"
	"github.com/fescuehub/fescuehub/pkg/ident"
	"github.com/fescuehub/fescuehub/pkg/problem"
)

// ReadAttempt reads an attempt from a request. The error kinds are TooLarge
// and BadRequest.
func ReadAttempt(w http.ResponseWriter, r *http.Request, maxBytes int64) (AttemptRequest, []byte, error) {
	content, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBytes))
	if err != nil {
		return AttemptRequest{}, nil, problem.New(problem.TooLarge, "send a smaller body", "the attempt could not be read: %v", err).WithOutcome(problem.NotRun)
	}
	return DecodeAttempt(content)
}

// DecodeAttempt splits an attempt into its description and its body. The error
// has the kind BadRequest.
func DecodeAttempt(content []byte) (AttemptRequest, []byte, error) {
	meta, body, found := bytes.Cut(content, []byte{'\n'})
	var request AttemptRequest
	err := json.Unmarshal(meta, &request)
	if err != nil || !found || request.Attempt == "" {
		return AttemptRequest{}, nil, problem.New(problem.BadRequest, "run the same release on every instance", "malformed attempt").WithOutcome(problem.NotRun)
	}
	return request, body, nil
}

// FrameWriter writes the frames of one answer. It is not safe for concurrent
// use.
type FrameWriter struct {
	// Load gives the load for the first and the last frame, if it is set.
	Load func() *frame.Load

	attempt ident.AttemptID
	seq     int
	out     *json.Encoder
	control *http.ResponseController
}

// NewFrameWriter returns a writer of the attempt's frames.
func NewFrameWriter(w http.ResponseWriter, attempt ident.AttemptID) *FrameWriter {
	w.Header().Set("Content-Type", "application/x-ndjson")
	return &FrameWriter{attempt: attempt, out: json.NewEncoder(w), control: http.NewResponseController(w)}
}

// Write sends the next frame at once.
func (w *FrameWriter) Write(f frame.Frame) error {
	f.Attempt = w.attempt
	f.Seq = w.seq
	if w.Load != nil && (f.Seq == 0 || f.Last) {
		f.Load = w.Load()
	}
	w.seq++
	if err := w.out.Encode(f); err != nil {
		return err
	}
	return w.control.Flush()
}

// Fail ends the answer with an error.
func (w *FrameWriter) Fail(err error) {
	_ = w.Write(frame.Frame{Last: true, Failure: problem.Of(err)})
}
