// Package answer decides which frames of a request's attempts reach the caller. A caller gets
// the complete answer of one generation, or a typed error. It never gets a part of another
// answer or a mix of two generations.
package answer

import (
	"fmt"
	"net/http"

	"github.com/fescuehub/fescuehub/pkg/frame"
	"github.com/fescuehub/fescuehub/pkg/ident"
	"github.com/fescuehub/fescuehub/pkg/problem"
)

// Head is the status and the header of an answer.
type Head struct {
	Status  int
	Header  http.Header
	Attempt ident.AttemptID
	// Length is the size of the complete body in bytes, -1 if unknown.
	Length int
}

// Output is what must be sent to the caller now.
type Output struct {
	// Head is set once, with the first data.
	Head *Head
	Data []byte
	// Done is true at the end of a complete answer.
	Done bool
	// Dropped is true for a frame that does not belong to the answer: one of another attempt, a
	// duplicate, or one after the last frame.
	Dropped bool
}

// Action is what may follow a failed attempt.
type Action int

// The actions after a failed attempt.
const (
	// Fail ends the answer with the error.
	Fail Action = iota
	// Retry sends the request as a new attempt: the caller has received nothing.
	Retry
	// Resume continues the stream after the text that the caller has received.
	Resume
)

// Assembler builds one answer from the frames of successive attempts. It is not safe for
// concurrent use.
type Assembler struct {
	stream           bool
	maxBufferedBytes int
	sequencer        *frame.Sequencer
	head             Head
	committed        bool
	buffered         []byte
	events           eventReader
}

// New returns an assembler. A stream is forwarded event by event; any other answer is buffered
// until it is complete or larger than maxBufferedBytes.
func New(stream bool, maxBufferedBytes int) *Assembler {
	return &Assembler{stream: stream, maxBufferedBytes: maxBufferedBytes, events: newEventReader()}
}

// BeginAttempt starts the next attempt. From then on, frames of earlier attempts are dropped.
func (a *Assembler) BeginAttempt(attempt ident.AttemptID) {
	a.sequencer = frame.NewSequencer(attempt)
	a.events.restart()
	if a.committed {
		return
	}
	a.head = Head{Attempt: attempt, Length: -1}
	a.buffered = nil
}

// Accept processes a frame and returns what to send. An error ends the attempt; AfterFailure
// returns what may follow.
func (a *Assembler) Accept(f frame.Frame) (Output, error) {
	current, err := a.sequencer.Accept(f)
	if err != nil {
		return Output{}, err
	}
	if !current {
		return Output{Dropped: true}, nil
	}
	if f.Failure != nil {
		return Output{}, f.Failure
	}
	if (f.Seq == 0 || f.Status != 0) && !frame.IsFinalStatus(f.Status) {
		return Output{}, problem.New(problem.BrokenFrame, "fix the backend server",
			"%d is not the status code of a final answer", f.Status).WithOutcome(problem.NotKnown)
	}
	if a.committed && f.Status != 0 && f.Status != a.head.Status {
		return Output{}, truncatedError(fmt.Sprintf("the answer was to be continued, but the backend server answered with status %d", f.Status))
	}
	if f.Status != 0 && !a.committed {
		a.head.Status = f.Status
		a.head.Header = f.Header
	}
	if a.streaming() {
		return a.acceptEvents(f)
	}
	return a.acceptDocument(f)
}

// streaming reports whether data is forwarded event by event. An answer with a status other
// than 200 has no events.
func (a *Assembler) streaming() bool {
	return a.stream && (a.committed || a.head.Status == http.StatusOK)
}

func (a *Assembler) acceptEvents(f frame.Frame) (Output, error) {
	complete, err := a.events.add(f.Data)
	if err != nil {
		return Output{}, err
	}
	if f.Last && !a.events.done {
		return Output{}, truncatedError("the stream ended without its end marker")
	}
	out := Output{Data: complete, Done: f.Last}
	if len(complete) > 0 {
		out.Head = a.commit()
	}
	return out, nil
}

func (a *Assembler) acceptDocument(f frame.Frame) (Output, error) {
	a.buffered = append(a.buffered, f.Data...)
	if !f.Last && !a.committed && len(a.buffered) <= a.maxBufferedBytes {
		return Output{}, nil
	}
	if f.Last && !a.committed {
		a.head.Length = len(a.buffered)
	}
	out := Output{Head: a.commit(), Data: a.buffered, Done: f.Last}
	a.buffered = nil
	return out, nil
}

// commit returns the head on the first call and nil afterwards.
func (a *Assembler) commit() *Head {
	if a.committed {
		return nil
	}
	a.committed = true
	head := a.head
	return &head
}

// Committed reports whether a part of the answer has been sent to the caller.
func (a *Assembler) Committed() bool { return a.committed }

// Complete reports whether the current attempt has ended with its last frame.
func (a *Assembler) Complete() bool { return a.sequencer.Complete() }

// AfterFailure returns what may follow a failed attempt. repeatable is true if the request may
// run twice or certainly has not run.
func (a *Assembler) AfterFailure(repeatable bool) Action {
	switch {
	case !a.committed && repeatable:
		return Retry
	case a.committed && repeatable && a.stream && a.events.resumable():
		return Resume
	}
	return Fail
}

// Text returns the text of a stream that has been sent to the caller.
func (a *Assembler) Text() string { return a.events.streamText() }

func truncatedError(detail string) error {
	return problem.New(problem.TruncatedAnswer, "send the request again if it is idempotent", "%s", detail).WithOutcome(problem.NotKnown)
}
