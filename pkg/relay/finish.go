package relay

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// retryAfterMean is the mean Retry-After of refused requests; retryAfterGroupMean is the mean
	// while a group of engines has to form again.
	retryAfterMean      = 400 * time.Millisecond
	retryAfterGroupMean = 1800 * time.Millisecond
	// retryAfterEvacuatedMean is the mean while all servers of a service are in evacuated failure domains: an
	// evacuation lasts, but callers return within about a second after its end.
	retryAfterEvacuatedMean = time.Second
	// stoppingRetryAfter is the Retry-After of requests that are refused because this process stops: any other
	// entry can serve them at once.
	stoppingRetryAfter = 20 * time.Millisecond
)

// refuseStopping ends a request that this process may be unable to finish before it stops. A response that has
// been started goes on: its caller has no complete one either way.
func (x *exchange) refuseStopping(ctx context.Context) bool {
	if x.started || x.admitted() {
		return false
	}
	x.stopping = true
	x.finish(ctx, "this entry stops and may be unable to finish the request; send it to another entry")
	return true
}

// admitted reports whether this process may still send the request to a backend server.
func (x *exchange) admitted() bool { return x.admission.AdmitsAttempt(x.q.Deadline()) }

// finish ends a request that no attempt answered. It writes the last failure response of a backend
// server, or, if there is none, an error response of the entry itself.
func (x *exchange) finish(ctx context.Context, reason string) {
	if cause := context.Cause(ctx); cause != nil {
		reason = cause.Error()
		x.stopping = !x.admitted()
	}
	x.report.Reason = reason
	if x.started {
		x.abort(reason)
		return
	}
	if x.failedResponse != nil {
		x.failedResponse.write(x.w)
		x.report.Status = x.failedResponse.status
		return
	}
	switch {
	case x.possibleRuns == 0:
		x.refuse(http.StatusServiceUnavailable, reason)
	case errors.Is(context.Cause(ctx), errDeadline):
		x.refuse(http.StatusGatewayTimeout, reason)
	default:
		x.refuse(http.StatusBadGateway, reason)
	}
}

func (x *exchange) refuse(status int, reason string) {
	x.report.Status = status
	retryAfter := time.Duration(0)
	if status == http.StatusServiceUnavailable {
		mean := retryAfterMean
		if x.groupFault {
			mean = retryAfterGroupMean
		}
		if x.report.ShortOfSlots {
			mean = x.retryAfterByUrgency(mean)
		}
		if x.allEvacuated() {
			mean = retryAfterEvacuatedMean
		}
		// Callers return when the first server accepts requests again, not all at once.
		if x.refusal.Part != "" {
			mean = x.refusal.RetryAfter * 4 / 3 // at the earliest when the part may be tried again
		}
		retryAfter = x.balancer.AcceptsIn(time.Now(), x.q.Service.Name) + mean*3/4 + rand.N(mean/2)
		if x.stopping {
			retryAfter = stoppingRetryAfter
		}
	}
	if x.stopping {
		x.w.Header().Set("Connection", "close")
	}
	WriteError(x.w, status, reason, retryAfter)
}

func (x *exchange) abort(reason string) {
	x.report.Reason = reason
	x.report.Aborted = true
}
