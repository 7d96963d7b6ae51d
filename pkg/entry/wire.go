//go:build wireinject

package entry

import (
	"io"

	"github.com/google/wire"

	"github.com/fescuehub/fescuehub/pkg/routing"
	"github.com/fescuehub/fescuehub/pkg/settings"
	"github.com/fescuehub/fescuehub/pkg/telemetry"
)

// Initialize returns an entry with its dependencies. It writes its log to logs.
func Initialize(s settings.Entry, logs io.Writer) *Entry {
	wire.Build(
		New,
		telemetry.NewMetrics,
		provideLogger,
		provideLogClient,
		provideInstances,
		routing.Standard,
		wire.Bind(new(routing.Selector), new(*routing.Pipeline)),
	)
	return nil
}
