// Package telemetry sets up the logger and the metrics of a process. Processes log only changes of
// state; everything else is counted in metrics.
package telemetry

import (
	"io"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// reportInterval is the interval at which the scope reports counters to the registry.
const reportInterval = time.Second

// Metrics holds the root scope of a process and the handler that exposes it to Prometheus.
type Metrics struct {
	Scope   tally.Scope
	Handler http.Handler
	closer  io.Closer
}

// NewMetrics returns the metrics of one process. They have their own registry, so that several
// instances in one program do not share metrics.
func NewMetrics() *Metrics {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	reporter := tallyprom.NewReporter(tallyprom.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 "fescuehub",
		CachedReporter:         reporter,
		Separator:              tallyprom.DefaultSeparator,
		SanitizeOptions:        &tallyprom.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	handler := promhttp.HandlerFor(registry, promhttp.HandlerOpts{})
	return &Metrics{Scope: scope, Handler: handler, closer: closer}
}

// Close reports the remaining counts and stops reporting.
func (m *Metrics) Close() { _ = m.closer.Close() }

// NewLogger returns a logger that writes JSON lines to w. Every line contains the kind of process and
// the name of the instance.
func NewLogger(w io.Writer, process, name string) *zap.Logger {
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(config), zapcore.Lock(zapcore.AddSync(w)), zapcore.InfoLevel)
	return zap.New(core).With(zap.String("process", process), zap.String("instance", name))
}

// Err returns a log field with the text of err. Unlike zap.Error it omits stack traces, which are of
// no use to operators. It returns an empty field if err is nil.
func Err(err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return zap.String("error", err.Error())
}
