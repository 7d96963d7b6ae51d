package gateway

import (
	"time"

	"go.uber.org/zap"

	"github.com/fescuehub/fescuehub/pkg/coldstart"
	"github.com/fescuehub/fescuehub/pkg/settings"
)

func coldBounds(b settings.Bounds) coldstart.Bounds {
	return coldstart.Bounds{Overage: b.ColdOverage, Slack: b.ColdSlack}
}

// recordColdServers logs which servers turned cold or warm since the last call, and updates the metrics.
func (g *Gateway) recordColdServers(now time.Time) {
	changes, cold, usage := g.cold.Advance(now)
	if !g.cold.Active() {
		return
	}
	for _, c := range changes {
		if !c.Cold {
			g.log.Info("backend server is no longer cold", zap.String("server", c.Server), zap.String("service", c.Service), zap.Int64("incarnation", c.Incarnation))
			continue
		}
		g.log.Info("backend server is cold", zap.String("server", c.Server), zap.String("service", c.Service), zap.Int64("incarnation", c.Incarnation),
			zap.Duration("left", c.Left), zap.Int("requestsPerSecondOfThisEntry", c.Share), zap.Int("knownEntries", c.Entries))
	}
	g.scope.Gauge("cold_servers").Update(float64(cold))
	g.scope.Counter("cold_requests").Inc(int64(usage.Sent))
	g.scope.Counter("cold_refusals").Inc(int64(usage.Refused))
}
