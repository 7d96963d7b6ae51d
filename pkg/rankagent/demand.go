package rankagent

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"math"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/fescuehub/fescuehub/pkg/follow"
	"github.com/fescuehub/fescuehub/pkg/popularity"
	"github.com/fescuehub/fescuehub/pkg/rankcontrol"
	"github.com/fescuehub/fescuehub/pkg/sharedlog"
	"github.com/fescuehub/fescuehub/pkg/telemetry"
	"github.com/fescuehub/fescuehub/pkg/wait"
)

const (
	// demandSaveInterval is the time between two writes of the demand to the shared log. Demand
	// drifts within seconds, and each write costs a call.
	demandSaveInterval = 4 * time.Second
	// demandCallTimeout bounds one call that reads or writes the demand.
	demandCallTimeout = 900 * time.Millisecond
	// seedChoices is the weight of the demand of an earlier epoch or planner. It is that of about a
	// tenth of a second under load, so that the first windows of the new epoch soon outweigh it.
	seedChoices = 4_000_000
	// seedTrust is how long after the start of an epoch windows do not replace that demand.
	seedTrust = time.Second
	// shareBytes is the size of an encoded share.
	shareBytes = 2
)

// demandRecord is the record of a group's demand in the shared log.
type demandRecord struct {
	Sets    int `json:"sets"`
	Experts int `json:"experts"`
	// Shares holds the share of each expert, set after set, as big-endian 16-bit numbers relative
	// to the largest share.
	Shares []byte `json:"shares"`
}

// demandKey returns the key of a group's demand.
func demandKey(service, group string) string { return service + "/" + group }

// encodeDemand encodes the shares of the experts of maps of a shape.
func encodeDemand(shape rankcontrol.Shape, shares []float64) ([]byte, error) {
	highest := 0.0
	for _, share := range shares {
		highest = max(highest, share)
	}
	r := demandRecord{Sets: shape.Sets, Experts: shape.Experts}
	for _, share := range shares {
		r.Shares = binary.BigEndian.AppendUint16(r.Shares, uint16(math.Round(share/highest*math.MaxUint16)))
	}
	data, err := json.Marshal(r)
	return data, errors.Wrap(err, "encode the demand of a group")
}

// decodeDemand decodes the shares of a record. Their sum is 1.
func decodeDemand(data []byte) ([]float64, error) {
	var r demandRecord
	if err := json.Unmarshal(data, &r); err != nil {
		return nil, errors.Wrap(err, "decode the demand of a group")
	}
	shape := rankcontrol.Shape{Sets: r.Sets, Experts: r.Experts, Ranks: 1}
	if !shape.Valid() || len(r.Shares) != shareBytes*r.Sets*r.Experts {
		return nil, errors.Newf("the demand of a group has %d bytes for %d sets of %d experts", len(r.Shares), r.Sets, r.Experts)
	}
	shares := make([]float64, r.Sets*r.Experts)
	total := 0.0
	for i := range shares {
		shares[i] = float64(binary.BigEndian.Uint16(r.Shares[shareBytes*i:]))
		total += shares[i]
	}
	if total == 0 {
		return nil, errors.New("the demand of a group is zero for all experts")
	}
	for i := range shares {
		shares[i] /= total
	}
	return shares, nil
}

// initialDemand returns the demand that is expected in a new epoch of a group: that of the last epoch,
// or that which an earlier planner has saved. The requests choose the experts, not the ranks, so the
// demand outlives the group.
func (p *planner) initialDemand(now time.Time, last *group, shape rankcontrol.Shape) *popularity.Estimator {
	demand := popularity.New(shape.Ranks, shape.Sets, shape.Experts, DemandHalfLife)
	if last.demand != nil && last.shape == shape {
		demand.Seed(last.demand.Shares(), seedChoices, now.Add(seedTrust))
		return demand
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	demand.Seed(p.savedDemand[demandKey(p.agent.settings.Service, last.name)], seedChoices, now.Add(seedTrust))
	return demand
}

// loadDemand reads the demand that earlier planners have saved. It retries until it succeeds.
func (p *planner) loadDemand(ctx context.Context) {
	for failures, after := 0, ""; ctx.Err() == nil; {
		call, cancel := context.WithTimeout(ctx, demandCallTimeout)
		page, err := p.agent.shared.Newest(call, sharedlog.Demand, after)
		cancel()
		if err != nil {
			if failures++; failures == 1 && ctx.Err() == nil {
				p.log.Warn("failed to read the saved demand; retrying until it succeeds", telemetry.Err(err))
			}
			wait.For(ctx, follow.Backoff(failures))
			continue
		}
		for _, r := range page.Records {
			p.addSavedDemand(r)
		}
		if after = page.After; after == "" {
			return
		}
	}
}

func (p *planner) addSavedDemand(r sharedlog.Record) {
	shares, err := decodeDemand(r.Value)
	if err != nil {
		p.log.Warn("skipped a saved demand", zap.String("key", r.Key), zap.Int64("offset", r.Offset), telemetry.Err(err))
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.savedDemand[r.Key] = shares
}

// saveDemand writes the demand of a group to the shared log if the last write is at least
// demandSaveInterval ago. The write does not delay the group.
func (p *planner) saveDemand(ctx context.Context, g *group, now time.Time) {
	if now.Sub(g.demandSavedAt) < demandSaveInterval || g.demand.TotalChoices() < minChoices {
		return
	}
	g.demandSavedAt = now
	data, err := encodeDemand(g.shape, g.demand.Shares())
	if err != nil {
		p.log.Error("failed to save the demand of a group", zap.String("group", g.name), telemetry.Err(err))
		return
	}
	p.saves.Go(func() {
		call, cancel := context.WithTimeout(ctx, demandCallTimeout)
		defer cancel()
		if err := p.agent.shared.Put(call, sharedlog.Demand, demandKey(p.agent.settings.Service, g.name), data); err != nil && ctx.Err() == nil {
			p.log.Info("the demand of a group was not saved; the next interval saves it again", zap.String("group", g.name), telemetry.Err(err))
		}
	})
}
