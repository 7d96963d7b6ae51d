// Package frame defines the numbered frames in which an agent sends the answer to one attempt to an
// entry, and a Sequencer that selects the frames that belong to the answer. An answer without its
// last frame is incomplete and must not be used.
package frame

import (
	"net/http"

	"github.com/fescuehub/fescuehub/pkg/ident"
	"github.com/fescuehub/fescuehub/pkg/problem"
)

// minStatus and maxStatus bound the status codes of final answers.
const (
	minStatus = 200
	maxStatus = 599
)

// IsFinalStatus reports whether a status code is that of a final answer.
func IsFinalStatus(status int) bool { return status >= minStatus && status <= maxStatus }

// Frame is one part of an answer. Frame 0 carries the status and the header, later frames carry
// data, and Last marks the last frame.
type Frame struct {
	Attempt ident.AttemptID `json:"attempt"`
	Seq     int             `json:"seq"`
	Status  int             `json:"status,omitempty"`
	Header  http.Header     `json:"header,omitempty"`
	Data    []byte          `json:"data,omitempty"`
	Last    bool            `json:"last,omitempty"`
	// Failure is set in the last frame if the answer ends with an error.
	Failure *problem.Error `json:"failure,omitempty"`
	// Owner is the agent that owns the key of an unrepeatable call. It is set if Failure has the
	// kind OwnerElsewhere.
	Owner ident.Incarnation `json:"owner,omitempty"`
	// Load is the load of the backend server. It is set in the first and the last frame.
	Load *Load `json:"load,omitempty"`
}

// Load is the load of a backend server.
type Load struct {
	// Running and Waiting are numbers of requests.
	Running int `json:"r,omitempty"`
	Waiting int `json:"w,omitempty"`
	// StepMS is the duration of a recent step, in milliseconds.
	StepMS float64 `json:"s,omitempty"`
}

// Sequencer accepts the frames of one attempt in order. It is not safe for concurrent use.
type Sequencer struct {
	attempt ident.AttemptID
	next    int
	done    bool
	dropped int
}

// NewSequencer returns a Sequencer for the attempt.
func NewSequencer(attempt ident.AttemptID) *Sequencer {
	return &Sequencer{attempt: attempt}
}

// Accept reports whether the frame is the next one of the answer. It returns false for a frame that
// must be dropped: a frame of another attempt, a duplicate, or a frame after the last one. The error
// has the kind BrokenFrame if a frame is missing before this one.
func (s *Sequencer) Accept(f Frame) (bool, error) {
	if f.Attempt != s.attempt || s.done || f.Seq < s.next {
		s.dropped++
		return false, nil
	}
	if f.Seq > s.next {
		return false, problem.New(problem.BrokenFrame, "send the request again if it is idempotent",
			"frame %d is missing from the answer", s.next).WithOutcome(problem.NotKnown)
	}
	s.next++
	s.done = f.Last
	return true, nil
}

// Complete reports whether the last frame has been accepted.
func (s *Sequencer) Complete() bool { return s.done }

// Dropped returns the number of frames dropped.
func (s *Sequencer) Dropped() int { return s.dropped }

// Next returns the sequence number of the next frame.
func (s *Sequencer) Next() int { return s.next }
