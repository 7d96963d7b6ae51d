package rankagent

import (
	"time"

	"go.uber.org/zap"

	"github.com/fescuehub/fescuehub/pkg/sharedlog"
	"github.com/fescuehub/fescuehub/pkg/telemetry"
)

// configurationSink follows the service's engine configuration.
type configurationSink planner

// Apply implements follow.Sink.
func (s *configurationSink) Apply(r sharedlog.Record) {
	c, ok, err := s.agent.decoder.DecodeConfiguration(r.Key, r.Value)
	if err != nil {
		s.log.Error("skipped a configuration that cannot be read", zap.Int64("offset", r.Offset), telemetry.Err(err))
	}
	if !ok || err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.Version < s.version {
		return // the log was restored from a copy without the newer configuration
	}
	s.version = c.Version
	for _, service := range c.Services {
		if service.Name == s.agent.settings.Service {
			s.engine = service.Engine
		}
	}
}

// Restored implements follow.Sink. Apply ignores configurations older than the current one.
func (s *configurationSink) Restored() {}

// BeginSnapshot implements follow.Sink.
func (s *configurationSink) BeginSnapshot(sharedlog.Position) {}

// EndSnapshot implements follow.Sink.
func (s *configurationSink) EndSnapshot() {}

// ReadFailed implements follow.Sink.
func (s *configurationSink) ReadFailed(error) {}

// ReadRecovered implements follow.Sink.
func (s *configurationSink) ReadRecovered() {}

// rankSink follows the announcements of the ranks.
type rankSink planner

// Apply implements follow.Sink.
func (s *rankSink) Apply(r sharedlog.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.restoredServers, r.Key)
	if len(r.Value) == 0 {
		delete(s.servers, r.Key)
		return
	}
	server, err := s.agent.decoder.DecodeServer(r.Key, r.Value)
	if err != nil {
		s.log.Warn("skipped an announcement", zap.String("server", r.Key), zap.Int64("offset", r.Offset), telemetry.Err(err))
		return
	}
	s.servers[r.Key] = server
}

// Restored implements follow.Sink. The servers stay known for a grace period, in which they announce
// themselves again if they run.
func (s *rankSink) Restored() {
	s.mu.Lock()
	defer s.mu.Unlock()
	removeAt := time.Now().Add(s.agent.settings.Bounds.LeaveGrace)
	for id := range s.servers {
		s.restoredServers[id] = removeAt
	}
}

// BeginSnapshot implements follow.Sink.
func (s *rankSink) BeginSnapshot(sharedlog.Position) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.servers {
		if _, restored := s.restoredServers[id]; !restored {
			delete(s.servers, id)
		}
	}
}

// removeLapsedServers removes the servers that have not announced themselves again in time after a
// restore of the log. The caller holds p.mu.
func (p *planner) removeLapsedServers(now time.Time) {
	for id, removeAt := range p.restoredServers {
		if !now.Before(removeAt) {
			delete(p.servers, id)
			delete(p.restoredServers, id)
		}
	}
}

// EndSnapshot implements follow.Sink.
func (s *rankSink) EndSnapshot() {}

// ReadFailed implements follow.Sink.
func (s *rankSink) ReadFailed(error) {}

// ReadRecovered implements follow.Sink.
func (s *rankSink) ReadRecovered() {}
