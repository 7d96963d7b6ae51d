package rankagent

import (
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
	for _, service := range c.Services {
		if service.Name == s.agent.settings.Service {
			s.mu.Lock()
			s.engine = service.Engine
			s.mu.Unlock()
		}
	}
}

// BeginSnapshot implements follow.Sink.
func (s *configurationSink) BeginSnapshot() {}

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

// BeginSnapshot implements follow.Sink.
func (s *rankSink) BeginSnapshot() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.servers)
}

// EndSnapshot implements follow.Sink.
func (s *rankSink) EndSnapshot() {}

// ReadFailed implements follow.Sink.
func (s *rankSink) ReadFailed(error) {}

// ReadRecovered implements follow.Sink.
func (s *rankSink) ReadRecovered() {}
