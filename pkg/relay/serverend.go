package relay

import (
	"context"
	"fmt"
	"io"
	"slices"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuehub/fescuehub/pkg/backendconn"
	"github.com/fescuehub/fescuehub/pkg/eventstream"
	"github.com/fescuehub/fescuehub/pkg/fleet"
	"github.com/fescuehub/fescuehub/pkg/quarantine"
	"github.com/fescuehub/fescuehub/pkg/wait"
)

const (
	// soundEvents is the number of events after which an engine has shown that it can answer a prompt:
	// a prompt that crashes engines does so as they begin to write, and an event or two may already be on
	// their way then.
	soundEvents = 3
	// soundPromptWait bounds the wait for other entries to say that they know the parts of a prompt to
	// be sound. They do so within 0.15 s, and a message takes some milliseconds.
	soundPromptWait = 300 * time.Millisecond
)

// checkServer reports whether a server has ended under an attempt that failed, and tells the observer. Once
// the attempt has been answered in part, the parts of the prompt are not to blame. The ranks of a group that
// has lost another rank break off their requests as well, after a stall, but they still accept connections.
func (x *exchange) checkServer(ctx context.Context, s fleet.Server, err error, responseBegun bool) bool {
	if !isConnectionEnd(err) || ctx.Err() != nil || !x.transport.Ended(ctx, s.ID, s.Address) {
		return false
	}
	end := ServerEnd{RequestID: x.q.ID, Fingerprint: x.fingerprint, SharedParts: x.q.SharedParts, ResponseBegun: responseBegun}
	if x.attemptEvents >= soundEvents {
		end.SharedParts = nil
	}
	x.observer.Ended(s, end)
	return true
}

var errQuarantined = errors.New("the request or a part of its prompt was quarantined: servers crash when they run it")

// SuspectIDs returns the IDs of a request in quarantine: those of the parts of its prompt, and its
// fingerprint.
func SuspectIDs(sharedParts []string, fingerprint string) []string {
	return append(slices.Clip(sharedParts), fingerprint)
}

func (x *exchange) isQuarantined() bool {
	_, refused := x.prompts.Refused(time.Now(), x.q.Service.Name, x.suspects)
	return refused
}

// refuseQuarantined ends the request, and reports true, if check refuses it or a part of its prompt.
func (x *exchange) refuseQuarantined(ctx context.Context, check func(time.Time, string, []string) (quarantine.Refusal, bool)) bool {
	refusal, refused := check(time.Now(), x.q.Service.Name, x.suspects)
	if !refused {
		return false
	}
	x.refusal = refusal
	if refusal.Part == x.fingerprint {
		x.finish(ctx, fmt.Sprintf("the request is refused as %s: servers crash when they run it", refusal.Part))
	} else {
		x.finish(ctx, fmt.Sprintf("part %s of the prompt is refused: servers crash when they answer it", refusal.Part))
	}
	return true
}

// recordEvent counts an event of the current attempt. After soundEvents the prompt is known to be sound. The
// request itself is when its response is complete: an engine can crash at any event.
func (x *exchange) recordEvent() {
	x.attemptEvents++
	if x.attemptEvents == soundEvents {
		x.prompts.RecordAnswered(time.Now(), x.q.Service.Name, x.q.SharedParts)
	}
}

// recordAnswer records that the request is sound after a complete response. A server that reports a failure
// need not have run it, and need not have begun to answer the prompt.
func (x *exchange) recordAnswer() {
	switch status := x.report.Status; {
	case status >= 500 || x.q.Route.Kind == fleet.Streaming && x.attemptEvents == 0:
	case status/100 == 2:
		x.prompts.RecordAnswered(time.Now(), x.q.Service.Name, x.suspects)
	default:
		x.prompts.RecordAnswered(time.Now(), x.q.Service.Name, SuspectIDs(nil, x.fingerprint))
	}
}

// mayRepeat reports whether a request may be sent to another server after a failed attempt, and ends it if
// not. If the server ended under it, another one would crash as well unless the prompt is known to be sound
// and no other server has ended under the same request.
func (x *exchange) mayRepeat(ctx context.Context) bool {
	if !x.report.Attempts[len(x.report.Attempts)-1].ServerEnded {
		return true
	}
	x.serverEnded = true
	for end := time.Now().Add(soundPromptWait); ctx.Err() == nil; wait.For(ctx, soundPromptWait/10) {
		if x.prompts.MayRepeat(time.Now(), x.q.Service.Name, x.suspects) {
			return true
		}
		if len(x.q.SharedParts) == 0 || !time.Now().Before(end) {
			break
		}
	}
	x.finish(ctx, "the backend server ended under the request, and it or a part of its prompt may end another one")
	return false
}

// errCutShort is the end of a response without a length or chunks that was not whole.
var errCutShort = errors.Wrap(io.ErrUnexpectedEOF, "the response has neither a length nor chunks, and its server ended with it or sent no event")

// cutShort reports whether a response that has been read to the end of its connection was broken off. Only
// one without a length or chunks can be: its connection ends in the same way when it is whole and when its
// server ends. A server that was about to leave has ended as planned.
func (x *exchange) cutShort(ctx context.Context, s fleet.Server, response *backendconn.Response) bool {
	if response.Framed || !x.balancer.Accepts(time.Now(), s) && !x.balancer.Evacuated(s) {
		return false
	}
	if x.q.Route.Kind == fleet.Streaming && response.Status < 300 && x.attemptEvents == 0 && !x.started {
		return true
	}
	return x.transport.Ended(ctx, s.ID, s.Address)
}

// isConnectionEnd reports whether an error says that the server closed or reset the connection.
func isConnectionEnd(err error) bool {
	return errors.IsAny(err, io.EOF, io.ErrUnexpectedEOF, eventstream.ErrTruncated, syscall.ECONNRESET, syscall.EPIPE)
}
