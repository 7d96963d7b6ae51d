package gateway

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/fescuehub/fescuehub/pkg/evacuation"
	"github.com/fescuehub/fescuehub/pkg/gossip"
	"github.com/fescuehub/fescuehub/pkg/sharedlog"
	"github.com/fescuehub/fescuehub/pkg/telemetry"
)

// applyEvacuation applies the record of a failure domain. It reports false for any other record.
func (g *Gateway) applyEvacuation(r sharedlog.Record) bool {
	domain, ok, err := g.codec.DecodeEvacuation(r.Key, r.Value)
	if !ok {
		return false
	}
	evacuated := len(r.Value) > 0
	if err != nil && g.malformedRecords.add(r.Key+"="+string(r.Value)) {
		g.log.Warn("malformed evacuation record: it is skipped if its key names no failure domain, otherwise it still counts",
			zap.String("key", r.Key), zap.Int64("offset", r.Offset), zap.Bool("skipped", domain == ""), telemetry.Err(err))
	}
	if domain == "" {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.applyEvacuationChanges(g.evacuations.Apply(evacuation.Record{Domain: domain, Evacuated: evacuated, Offset: r.Offset})) {
		g.topics[sharedlog.Operators].markChanged()
	}
	return true
}

// applyEvacuationChanges puts changes in force and logs them. It reports whether there are any. The caller
// holds mu.
func (g *Gateway) applyEvacuationChanges(changes []evacuation.Change) bool {
	if len(changes) == 0 {
		return false
	}
	g.balancer.SetEvacuated(g.evacuations.EvacuatedDomains())
	for _, c := range changes {
		if !c.Evacuated {
			continue
		}
		for id, s := range g.servers {
			if s.Zone == c.Domain {
				g.pools.CloseServer(id)
			}
		}
	}
	for _, c := range changes {
		learnedFrom := c.LearnedFrom
		if learnedFrom == "" {
			learnedFrom = "shared log"
		}
		message := "failure domain returned to service: its backend servers get requests again"
		if c.Evacuated {
			message = "failure domain evacuated: its backend servers get no new requests"
		}
		g.log.Info(message, zap.String("domain", c.Domain), zap.Bool("evacuated", c.Evacuated), zap.Int64("timeline", int64(c.Position.Timeline)),
			zap.Int64("offset", c.Position.Next), zap.String("learnedFrom", learnedFrom), zap.Int("servers", g.serversIn(c.Domain)))
		g.scope.Counter("evacuation_changes").Inc(1)
	}
	g.countEvacuated()
	g.warnUnknownDomains()
	return true
}

// countEvacuated updates the gauge of the known domains that are evacuated. The caller holds mu.
func (g *Gateway) countEvacuated() {
	count := 0
	for domain := range g.evacuations.EvacuatedDomains() {
		if g.isKnownDomain(domain) {
			count++
		}
	}
	g.scope.Gauge("evacuated_failure_domains").Update(float64(count))
}

// warnUnknownDomains warns once of each evacuated name that neither the settings nor any server know. It
// waits until the announcements have been read. The caller holds mu.
func (g *Gateway) warnUnknownDomains() {
	if !g.serversRead {
		return
	}
	for domain := range g.evacuations.EvacuatedDomains() {
		if !g.isKnownDomain(domain) && g.malformedRecords.add("unknown domain "+domain) {
			g.log.Warn("the evacuated failure domain is unknown: no backend server is affected; remove the record, or correct its name to one of knownDomains",
				zap.String("domain", domain), zap.Strings("knownDomains", g.knownDomains()))
		}
	}
}

// knownDomains returns the failure domains of the settings and of the announced servers. The caller holds mu.
func (g *Gateway) knownDomains() []string {
	domains := append([]string{g.settings.FailureDomain}, g.settings.FailureDomains...)
	for _, s := range g.servers {
		if s.Zone != "" {
			domains = append(domains, s.Zone)
		}
	}
	slices.Sort(domains)
	return slices.Compact(domains)
}

func (g *Gateway) isKnownDomain(domain string) bool {
	return domain == g.settings.FailureDomain || slices.Contains(g.settings.FailureDomains, domain) || g.serversIn(domain) > 0
}

// serversIn returns the number of announced servers in a failure domain. The caller holds mu.
func (g *Gateway) serversIn(domain string) int {
	count := 0
	for _, s := range g.servers {
		if s.Zone == domain {
			count++
		}
	}
	return count
}

// sharedEvacuations are the evacuated failure domains. An entry that cannot read the log learns of them from
// the others.
type sharedEvacuations Gateway

func (s *sharedEvacuations) collect(_ time.Time, message *gossip.EntryState) {
	g := (*Gateway)(s)
	g.mu.Lock()
	defer g.mu.Unlock()
	if message.Evacuations = g.evacuations.Reports(g.isKnownDomain); message.Evacuations != nil {
		g.countEvacuated() // servers may have announced a domain since its record was read
	}
}

func (s *sharedEvacuations) merge(_ time.Time, message *gossip.EntryState) {
	g := (*Gateway)(s)
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(message.Evacuations) > 0 {
		g.applyEvacuationChanges(g.evacuations.Merge(message.Name, message.Evacuations))
	}
}
