package agent

import (
	"io"

	"go.uber.org/zap"

	"github.com/fescuehub/fescuehub/pkg/peer/logservice"
	"github.com/fescuehub/fescuehub/pkg/settings"
	"github.com/fescuehub/fescuehub/pkg/telemetry"
)

func provideLogger(s settings.Agent, logs io.Writer) *zap.Logger {
	return telemetry.NewLogger(logs, "agent", s.Name)
}

func provideLogClient(s settings.Agent) *logservice.Client {
	return logservice.New(s.LogURL)
}
