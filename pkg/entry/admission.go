package entry

import (
	"context"
)

// admitAndForward waits for admission and forwards the request.
func (e *Entry) admitAndForward(ctx context.Context, x *exchange) error {
	return e.forward(ctx, x)
}
