package writeonce_test

import (
	"github.com/fescuehub/fescuehub/pkg/problem"
	"github.com/fescuehub/fescuehub/pkg/writehistory"
)

// linearizable checks what the callers of the matrix were told.
func linearizable(f *facts) bool {
	var requests []writehistory.Request
	for _, op := range f.ops {
		if op.key == "" {
			continue
		}
		r := writehistory.Request{Call: op.key + "|" + op.body, Start: int64(op.call), End: int64(op.end), Outcome: op.outcome}
		if op.end < 0 {
			r.End, r.Outcome = writehistory.NoResponse, problem.NotKnown
		}
		requests = append(requests, r)
	}
	return writehistory.Linearizable(requests, f.runs)
}
