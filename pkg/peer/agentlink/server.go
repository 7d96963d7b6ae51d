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

// ReadAttempt reads an attempt of at most maxBytes bytes from a request. The error has the kind
// TooLarge or BadRequest.
func ReadAttempt(w http.ResponseWriter, r *http.Request, maxBytes int64) (AttemptRequest, []byte, error) {
	content, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBytes))
	if err != nil {
		return AttemptRequest{}, nil, problem.New(problem.TooLarge, "send a smaller body", "the attempt could not be read: %v", err).WithOutcome(problem.NotRun)
	}
	return DecodeAttempt(content)
}

// DecodeAttempt splits an encoded attempt into its description and its body. The error has the
// kind BadRequest.
func DecodeAttempt(content []byte) (AttemptRequest, []byte, error) {
	meta, body, found := bytes.Cut(content, []byte{'\n'})
	var request AttemptRequest
	err := json.Unmarshal(meta, &request)
	if err != nil || !found || request.Attempt == "" {
		return AttemptRequest{}, nil, problem.New(problem.BadRequest, "run the same release on every instance", "malformed attempt").WithOutcome(problem.NotRun)
	}
	return request, body, nil
}

// FrameWriter writes the frames of one answer. It is not safe for concurrent use.
type FrameWriter struct {
	// Load, if set, returns the load to send in the first and the last frame.
	Load func() *frame.Load

	attempt    ident.AttemptID
	seq        int
	encoder    *json.Encoder
	controller *http.ResponseController
}

// NewFrameWriter returns a writer for the frames of the attempt.
func NewFrameWriter(w http.ResponseWriter, attempt ident.AttemptID) *FrameWriter {
	w.Header().Set("Content-Type", "application/x-ndjson")
	return &FrameWriter{attempt: attempt, encoder: json.NewEncoder(w), controller: http.NewResponseController(w)}
}

// Write sends the next frame and flushes it.
func (w *FrameWriter) Write(f frame.Frame) error {
	f.Attempt = w.attempt
	f.Seq = w.seq
	if w.Load != nil && (f.Seq == 0 || f.Last) {
		f.Load = w.Load()
	}
	w.seq++
	if err := w.encoder.Encode(f); err != nil {
		return err
	}
	return w.controller.Flush()
}

// Fail ends the answer with a last frame that carries err.
func (w *FrameWriter) Fail(err error) {
	_ = w.Write(frame.Frame{Last: true, Failure: problem.Of(err)})
}
