package backendconn

import (
	"context"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// endCheckTimeout bounds the check whether a server has ended. A host that is up answers within a round
// trip.
const endCheckTimeout = 400 * time.Millisecond

// Ended reports whether the process of a server has certainly ended: its host answers that nothing
// listens at its address. If the server accepts the connection, the connection is kept for a request.
// Checks of the same server at the same time share one connection.
func (p *Pools) Ended(ctx context.Context, server, address string) bool {
	check := p.endChecks.DoChan(server+" "+address, func() (any, error) {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), endCheckTimeout)
		defer cancel()
		nc, err := p.dial(ctx, address)
		if err != nil {
			return errors.Is(err, syscall.ECONNREFUSED), nil
		}
		c := newConn(server, nc)
		c.idleUntil = time.Now().Add(defaultIdleTimeout)
		p.put(c)
		return false, nil
	})
	select {
	case result := <-check:
		return result.Val.(bool)
	case <-ctx.Done():
		return false
	}
}
