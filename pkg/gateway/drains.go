package gateway

import (
	"time"

	"go.uber.org/zap"

	"github.com/fescuehub/fescuehub/pkg/gossip"
)

// recentDrains holds the servers of which this entry has just read in the shared log that they drain. Messages
// repeat them for urgentRepeat, so that the others need not read the log for each of them.
type recentDrains struct{ servers map[string]recentDrain }

type recentDrain struct {
	gossip.Drain
	until time.Time
}

func (d *recentDrains) add(now time.Time, id string, drain gossip.Drain) {
	if d.servers == nil {
		d.servers = make(map[string]recentDrain)
	}
	d.servers[id] = recentDrain{drain, now.Add(urgentRepeat)}
}

// recent returns at most gossip.MaxLeaving servers, chosen at random.
func (d *recentDrains) recent(now time.Time) map[string]gossip.Drain {
	var recent map[string]gossip.Drain
	for id, drain := range d.servers { // the order of a map is random
		if !now.Before(drain.until) {
			delete(d.servers, id)
			continue
		}
		if recent == nil {
			recent = make(map[string]gossip.Drain)
		}
		if len(recent) < gossip.MaxLeaving {
			recent[id] = drain.Drain
		}
	}
	return recent
}

// markDraining stops using servers that have announced that they drain. source is the entry that reported it.
func (g *Gateway) markDraining(now time.Time, servers map[string]gossip.Drain, source string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	changed := false
	for id, drain := range servers {
		if g.roster.AnnounceDraining(id, drain.Incarnation, drain.Sequence) {
			changed = true
			g.log.Info("backend server drains", zap.String("server", id), zap.Int64("incarnation", drain.Incarnation), zap.String("reportedBy", source))
		}
	}
	if changed {
		g.refreshServers(now)
	}
}
