// Package answer decides what of the frames of a request's attempts reaches
// the caller. A caller gets the whole answer of one generation, or sees a typed
// error; never a part of another answer, and never two generations in one.
package answer

import (
	"net/http"

	"github.com/fescuehub/fescuehub/pkg/frame"
	"github.com/fescuehub/fescuehub/pkg/ident"
	"github.com/fescuehub/fescuehub/pkg/problem"
)

// minStatus and maxStatus bound the status codes of final answers.
const (
	minStatus = 200
	maxStatus = 599
)

// Head is the status and the header of an answer.
type Head struct {
	Status  int
	Header  http.Header
	Attempt ident.AttemptID
	// Length is the size of the whole body in bytes, -1 where it is not known.
	Length int
}

// Output is what must be sent to the caller now.
type Output struct {
	// Head is set once, before the first data.
	Head *Head
	Data []byte
	// Done is true with the end of a whole answer.
	Done bool
	// Dropped is true for a frame that does not belong to the answer.
	Dropped bool
}

// Action says what may follow a failed attempt.
type Action int

// What may follow a failed attempt.
const (
	// Fail ends the answer with the error.
	Fail Action = iota
	// Retry sends the request as a new attempt: the caller has seen nothing.
	Retry
	// Resume continues the stream from the text that the caller has.
	Resume
)

// Assembler builds one answer from the frames of successive attempts. It is
// not safe for concurrent use.
type Assembler struct {
	stream    bool
	holdBytes int
	sequence  *frame.Sequencer
	head      Head
	committed bool
	held      []byte
	events    eventReader
}

// New returns an assembler. A stream is passed on event by event; any other
// answer is held until it is whole or larger than holdBytes.
func New(stream bool, holdBytes int) *Assembler {
	return &Assembler{stream: stream, holdBytes: holdBytes, events: newEventReader()}
}

// BeginAttempt starts the next attempt. Frames of earlier attempts are dropped from
// now on.
func (a *Assembler) BeginAttempt(attempt ident.AttemptID) {
	a.sequence = frame.NewSequencer(attempt)
	a.events.restart()
	if a.committed {
		return
	}
	a.head = Head{Attempt: attempt, Length: -1}
	a.held = nil
}

// Accept takes a frame. An error ends the attempt; AfterFailure says what may
// follow.
func (a *Assembler) Accept(f frame.Frame) (Output, error) {
	mine, err := a.sequence.Accept(f)
	if err != nil {
		return Output{}, err
	}
	if !mine {
		return Output{Dropped: true}, nil
	}
	if f.Failure != nil {
		return Output{}, f.Failure
	}
	if f.Status != 0 && (f.Status < minStatus || f.Status > maxStatus) {
		return Output{}, problem.New(problem.BrokenFrame, "correct the backend server",
			"%d is not the status of an answer", f.Status).WithOutcome(problem.NotKnown)
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

// streaming reports whether data is passed on event by event. An answer that
// is not a success has no events.
func (a *Assembler) streaming() bool {
	return a.stream && (a.committed || a.head.Status == http.StatusOK)
}

func (a *Assembler) acceptEvents(f frame.Frame) (Output, error) {
	whole, err := a.events.add(f.Data)
	if err != nil {
		return Output{}, err
	}
	if f.Last && !a.events.done {
		return Output{}, truncated("the stream ended without its end marker")
	}
	out := Output{Data: whole, Done: f.Last}
	if len(whole) > 0 {
		out.Head = a.commit()
	}
	return out, nil
}

func (a *Assembler) acceptDocument(f frame.Frame) (Output, error) {
	a.held = append(a.held, f.Data...)
	if !f.Last && !a.committed && len(a.held) <= a.holdBytes {
		return Output{}, nil
	}
	if f.Last && !a.committed {
		a.head.Length = len(a.held)
	}
	if f.Last && a.head.Status == 0 {
		return Output{}, truncated("the answer has no status")
	}
	out := Output{Head: a.commit(), Data: a.held, Done: f.Last}
	a.held = nil
	return out, nil
}

// commit returns the head the first time.
func (a *Assembler) commit() *Head {
	if a.committed {
		return nil
	}
	a.committed = true
	head := a.head
	return &head
}

// Committed reports whether the caller has seen a part of the answer.
func (a *Assembler) Committed() bool { return a.committed }

// Complete reports whether the present attempt has ended with its last frame.
func (a *Assembler) Complete() bool { return a.sequence.Complete() }

// AfterFailure says what may follow the failure of an attempt. repeatable is
// true where the request may run twice or certainly has not run.
func (a *Assembler) AfterFailure(repeatable bool) Action {
	switch {
	case !a.committed && repeatable:
		return Retry
	case a.committed && repeatable && a.stream && a.events.resumable():
		return Resume
	}
	return Fail
}

// Text returns the text that the caller has of a stream.
func (a *Assembler) Text() string { return a.events.readText() }

func truncated(detail string) error {
	return problem.New(problem.TruncatedAnswer, "send the request again if it is idempotent", "%s", detail).WithOutcome(problem.NotKnown)
}
