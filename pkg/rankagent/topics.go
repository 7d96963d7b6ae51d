package rankagent

import (
	"go.uber.org/zap"

	"github.com/fescuehub/fescuehub/pkg/sharedlog"
	"github.com/fescuehub/fescuehub/pkg/telemetry"
)

// configurationSink follows the service's engine configuration.
type configurationSink planner

// Take implements follow.Sink.
func (s *configurationSink) Take(r sharedlog.Record) {
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

// Begin implements follow.Sink.
func (s *configurationSink) Begin() {}

// Complete implements follow.Sink.
func (s *configurationSink) Complete() {}

// Lost implements follow.Sink.
func (s *configurationSink) Lost(error) {}

// Regained implements follow.Sink.
func (s *configurationSink) Regained() {}

// rankSink follows the announcements of the ranks.
type rankSink planner

// Take implements follow.Sink.
func (s *rankSink) Take(r sharedlog.Record) {
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

// Begin implements follow.Sink.
func (s *rankSink) Begin() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.servers)
}

// Complete implements follow.Sink.
func (s *rankSink) Complete() {}

// Lost implements follow.Sink.
func (s *rankSink) Lost(error) {}

// Regained implements follow.Sink.
func (s *rankSink) Regained() {}
