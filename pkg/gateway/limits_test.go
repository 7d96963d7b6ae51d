package gateway

import (
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/fescuehub/fescuehub/pkg/fleet"
	"github.com/fescuehub/fescuehub/pkg/httpserver"
	"github.com/fescuehub/fescuehub/pkg/settings"
	"github.com/fescuehub/fescuehub/pkg/telemetry"
)

// TestConnectionLimitsFollowConfiguration checks the limits of callers' connections before a
// configuration is in force, and that an idle connection is kept longer than configured: its caller
// may already use the longer limit of a configuration that is not in force here yet.
func TestConnectionLimitsFollowConfiguration(t *testing.T) {
	g := New(settings.Instance{Name: "a", Bounds: settings.Bounds{RetryWindow: time.Second}}, nil, nil, zap.NewNop(), telemetry.NewMetrics())
	if got, want := g.connLimits(), (httpserver.ConnLimits{HeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout + idleTimeoutMargin}); got != want {
		t.Errorf("without a configuration: got %+v, want %+v", got, want)
	}
	g.table.Store(fleet.NewTable(fleet.Configuration{Limits: fleet.Limits{HeaderTimeout: 3 * time.Second, IdleTimeout: 5 * time.Second}}))
	if got, want := g.connLimits(), (httpserver.ConnLimits{HeaderTimeout: 3 * time.Second, IdleTimeout: 7 * time.Second}); got != want {
		t.Errorf("configured: got %+v, want %+v", got, want)
	}
}
