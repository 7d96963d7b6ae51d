//go:build wireinject

package agent

import (
	"io"

	"github.com/google/wire"

	"github.com/fescuehub/fescuehub/pkg/settings"
	"github.com/fescuehub/fescuehub/pkg/telemetry"
)

// Initialize returns an agent with its dependencies. Log lines are written to logs.
func Initialize(s settings.Agent, logs io.Writer) *Agent {
	wire.Build(New, telemetry.NewMetrics, provideLogger,
		provideLogClient, NewBackend)
	return nil
}
