package rankagent

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuehub/fescuehub/pkg/fleet"
)

// member is a server with its status, or with the error of reading it.
type member struct {
	server fleet.Server
	status rankStatus
	err    error
}

// inOrder returns the ranks of the newest formation in order. It fails unless
// all of them have answered and the group is open.
func inOrder(members []member) ([]fleet.Server, []rankStatus, error) {
	var errs error
	epoch, size := int64(-1), 0
	for _, m := range members {
		if m.err != nil {
			errs = errors.CombineErrors(errs, m.err)
			continue
		}
		if r := m.status.Report; r.Epoch > epoch {
			epoch, size = r.Epoch, r.Ranks
		}
	}
	servers, statuses := make([]fleet.Server, size), make([]rankStatus, size)
	found := 0
	for _, m := range members {
		r := m.status.Report
		if m.err != nil || r.Epoch != epoch || r.Rank < 0 || r.Rank >= size || statuses[r.Rank].Report.Ranks != 0 {
			continue
		}
		if r.State != fleet.GroupOpen {
			return nil, nil, errors.Newf("rank %d says that the group is broken", r.Rank)
		}
		servers[r.Rank], statuses[r.Rank] = m.server, m.status
		found++
	}
	if found != size || size == 0 {
		return nil, nil, errors.CombineErrors(errors.Newf("%d of %d ranks of epoch %d answer", found, size, epoch), errs)
	}
	return servers, statuses, nil
}

// read reads the status of every server at once.
func (p *planner) read(ctx context.Context, servers []fleet.Server, request func(i int) statusRequest) []member {
	ctx, cancel := context.WithTimeout(ctx, roundTimeout+time.Duration(len(servers))*roundTimeoutRank)
	defer cancel()
	members := make([]member, len(servers))
	var all sync.WaitGroup
	for i, s := range servers {
		rank := p.rank(s.Address)
		all.Go(func() {
			status, err := rank.status(ctx, request(i))
			members[i] = member{s, status, errors.Wrapf(err, "%s", s.Address)}
		})
	}
	all.Wait()
	return members
}
