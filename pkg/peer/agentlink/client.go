package agentlink

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuehub/fescuehub/pkg/frame"
	"github.com/fescuehub/fescuehub/pkg/httpclient"
	"github.com/fescuehub/fescuehub/pkg/problem"
)

const (
	dialTimeout = 2 * time.Second
	// maxFrameBytes limits the size of one encoded frame.
	maxFrameBytes       = 8 << 20
	idleConnsPerAgent   = 64
	frameReaderBufBytes = 32 << 10
)

// Client sends attempts to agents. It is safe for concurrent use.
type Client struct {
	http *http.Client
}

// NewClient returns a client that never resends an attempt.
func NewClient() *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := httpclient.NewTransport(dialer.DialContext)
	transport.MaxIdleConns = 0 // bounded for each agent
	transport.MaxIdleConnsPerHost = idleConnsPerAgent
	transport.IdleConnTimeout = time.Minute
	transport.DisableCompression = true
	return &Client{http: &http.Client{Transport: transport}}
}

// Start sends an attempt and returns a reader of its frames. The error has the kind
// BackendUnreachable, and the outcome NotRun only if no connection to the agent could be opened.
func (c *Client) Start(ctx context.Context, address string, request AttemptRequest, body []byte) (*FrameReader, error) {
	meta, err := json.Marshal(request)
	if err != nil {
		return nil, errors.Wrap(err, "encode attempt")
	}
	content := make([]byte, 0, len(meta)+1+len(body))
	content = append(content, meta...)
	content = append(content, '\n')
	content = append(content, body...)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+AttemptsPath, bytes.NewReader(content))
	if err != nil {
		return nil, errors.Wrap(err, "create attempt request")
	}
	// Without GetBody, net/http cannot resend the attempt after a connection failure.
	req.GetBody = nil
	res, err := c.http.Do(req)
	if err != nil {
		return nil, unreachable(err)
	}
	return newFrameReader(res.Body), nil
}

// FrameReader reads the frames of one answer from an agent.
type FrameReader struct {
	body    io.ReadCloser
	scanner *bufio.Scanner
}

func newFrameReader(body io.ReadCloser) *FrameReader {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, frameReaderBufBytes), maxFrameBytes)
	return &FrameReader{body: body, scanner: scanner}
}

// Next returns the next frame. The error has the kind TruncatedAnswer if the connection has
// ended, and BrokenFrame if the frame cannot be decoded.
func (r *FrameReader) Next() (frame.Frame, error) {
	if !r.scanner.Scan() {
		return frame.Frame{}, problem.New(problem.TruncatedAnswer, "send the request again if it is idempotent",
			"the connection to the agent closed before the last frame: %v", r.scanner.Err()).WithOutcome(problem.NotKnown)
	}
	return DecodeFrame(r.scanner.Bytes())
}

// Close closes the response body, which cancels an attempt that is still running.
func (r *FrameReader) Close() { _ = r.body.Close() }

// DecodeFrame decodes one frame from JSON. The error has the kind BrokenFrame.
func DecodeFrame(line []byte) (frame.Frame, error) {
	var f frame.Frame
	if err := json.Unmarshal(line, &f); err != nil {
		return f, problem.New(problem.BrokenFrame, "run the same release on every instance", "malformed frame: %v", err).WithOutcome(problem.NotKnown)
	}
	return f, nil
}

// unreachable returns the error of a call that the agent did not answer. The outcome is NotRun if no
// connection was opened.
func unreachable(err error) error {
	p := problem.New(problem.BackendUnreachable, "send the request again if it is idempotent", "the agent did not answer: %v", err)
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return p.WithOutcome(problem.NotRun)
	}
	return p.WithOutcome(problem.NotKnown)
}
