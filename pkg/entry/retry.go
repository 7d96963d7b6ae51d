package entry

import (
	"context"

	"github.com/fescuehub/fescuehub/pkg/answer"
	"github.com/fescuehub/fescuehub/pkg/problem"
)

// mayRetry allows another attempt where the request either did not run or may
// run twice, and where the answer can still become whole.
func mayRetry(ctx context.Context, x *exchange, err error) bool {
	p := problem.Of(err)
	if ctx.Err() != nil || p.Kind == problem.CallerGone {
		return false
	}
	repeatable := p.Outcome == problem.NotRun || x.idempotent
	return x.answer.AfterFailure(repeatable) != answer.Fail
}
