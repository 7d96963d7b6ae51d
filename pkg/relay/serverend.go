package relay

import (
	"context"
	"io"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuehub/fescuehub/pkg/eventstream"
	"github.com/fescuehub/fescuehub/pkg/fleet"
)

const (
	// soundEvents is the number of events after which an engine has shown that it can answer a prompt:
	// a prompt that crashes engines does so as they begin to write, and one event may already be on its
	// way then.
	soundEvents = 2
	// endCheckTimeout bounds the check whether a server has ended. A host that is up answers within a
	// round trip.
	endCheckTimeout = 400 * time.Millisecond
)

// checkServer reports whether a server has ended under an attempt that failed, and tells the observer
// unless the attempt had been answered in part. The ranks of a group that has lost another rank break
// off their requests as well, after a stall, but they do not end.
func (x *exchange) checkServer(ctx context.Context, s fleet.Server, err error, responseBegun bool) bool {
	if len(x.q.SharedParts) == 0 || x.attemptEvents >= soundEvents || !isConnectionEnd(err) || ctx.Err() != nil {
		return false
	}
	if x.balancer.GroupStalled(time.Now(), s.ID) {
		return false
	}
	checkCtx, cancel := context.WithTimeout(ctx, endCheckTimeout)
	defer cancel()
	if !x.transport.Ended(checkCtx, s.ID, s.Address) {
		return false
	}
	x.observer.Ended(s, ServerEnd{RequestID: x.q.ID, SharedParts: x.q.SharedParts, ResponseBegun: responseBegun})
	return true
}

// isConnectionEnd reports whether an error says that the server closed or reset the connection.
func isConnectionEnd(err error) bool {
	return errors.IsAny(err, io.EOF, io.ErrUnexpectedEOF, eventstream.ErrTruncated, syscall.ECONNRESET, syscall.EPIPE)
}
