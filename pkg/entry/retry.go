package entry

import (
	"context"

	"github.com/fescuehub/fescuehub/pkg/problem"
)

// mayRetry allows another attempt where nothing has reached the caller and
// the request either did not run or may run twice.
func mayRetry(ctx context.Context, x *exchange, err error) bool {
	if x.out.committed || ctx.Err() != nil {
		return false
	}
	return problem.Of(err).Outcome == problem.NotRun || x.idempotent
}
