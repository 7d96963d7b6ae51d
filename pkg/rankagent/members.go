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

// orderedRanks returns the servers and statuses of the newest epoch in rank order. It fails unless
// every rank of that epoch has answered and the group is open.
func orderedRanks(members []member) ([]fleet.Server, []rankStatus, error) {
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
	if size > len(members) {
		return nil, nil, errors.CombineErrors(errors.Newf("%d servers are announced, but epoch %d has %d ranks", len(members), epoch, size), errs)
	}
	servers, statuses := make([]fleet.Server, size), make([]rankStatus, size)
	found := 0
	for _, m := range members {
		r := m.status.Report
		if m.err != nil || r.Epoch != epoch || r.Rank < 0 || r.Rank >= size || statuses[r.Rank].Report.Ranks != 0 {
			continue
		}
		if r.State != fleet.GroupOpen {
			return nil, nil, errors.Newf("rank %d reports that the group is broken", r.Rank)
		}
		servers[r.Rank], statuses[r.Rank] = m.server, m.status
		found++
	}
	if found != size || size == 0 {
		return nil, nil, errors.CombineErrors(errors.Newf("%d of %d ranks of epoch %d have answered", found, size, epoch), errs)
	}
	return servers, statuses, nil
}

// readStatuses reads the status of all servers concurrently.
func (p *planner) readStatuses(ctx context.Context, servers []fleet.Server, request func(i int) statusRequest) []member {
	ctx, cancel := context.WithTimeout(ctx, roundTimeout+time.Duration(len(servers))*roundTimeoutPerRank)
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
