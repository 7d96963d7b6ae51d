package entry

import (
	"io"

	"go.uber.org/zap"

	"github.com/fescuehub/fescuehub/pkg/peer/instancelist"
	"github.com/fescuehub/fescuehub/pkg/peer/logservice"
	"github.com/fescuehub/fescuehub/pkg/settings"
	"github.com/fescuehub/fescuehub/pkg/telemetry"
)

func provideLogger(s settings.Entry, logs io.Writer) *zap.Logger {
	return telemetry.NewLogger(logs, "entry", s.Name)
}

func provideLogClient(s settings.Entry) *logservice.Client {
	return logservice.New(s.LogURL)
}

func provideInstances(s settings.Entry) *instancelist.Client {
	return instancelist.New(s.InstancesURL)
}
