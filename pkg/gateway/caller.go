package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/fescuehub/fescuehub/pkg/fleet"
	"github.com/fescuehub/fescuehub/pkg/httpserver"
	"github.com/fescuehub/fescuehub/pkg/membudget"
	"github.com/fescuehub/fescuehub/pkg/relay"
)

const (
	// defaultMaxBodyBytes bounds request bodies until a configuration sets a limit.
	defaultMaxBodyBytes = 4 << 20
	// startupRetryAfter is the Retry-After time of requests that this entry cannot serve yet,
	// for example because it has no configuration.
	startupRetryAfter = 300 * time.Millisecond
	// maxStartupWait is how long after the start requests wait for the configuration and the
	// backend servers: reading them takes 0.1 s, and 0.7 s with a slow store.
	maxStartupWait = 1200 * time.Millisecond
)

// refusal is an error response by the entry itself.
type refusal struct {
	status     int
	reason     string
	retryAfter time.Duration
}

func (g *Gateway) serveCaller(w http.ResponseWriter, r *http.Request) {
	if httpserver.Closed(r.Context()) {
		panic(http.ErrAbortHandler) // it cannot be answered
	}
	arrived := time.Now()
	g.drain.beginRequest()
	defer g.drain.endRequest()
	if g.drain.draining() {
		w.Header().Set("Connection", "close")
	}
	select {
	case <-g.startupCtx.Done():
	case <-r.Context().Done():
	}
	held := g.memory.Receive(time.Now(), func(reason membudget.Reason) { g.giveWay(w, r, reason) })
	defer held.Release()
	q, version, refused := g.admit(http.NewResponseController(w), r, arrived, held)
	if refused == nil && !held.Complete() {
		refused = g.noMemory("headers")
	}
	if refused != nil {
		closeUnread(w, r, q, refused)
		relay.WriteError(w, refused.status, refused.reason, refused.retryAfter)
		g.log.Info("request refused", zap.String("request", q.ID), zap.Int("status", refused.status), zap.String("reason", refused.reason),
			zap.String("host", shortened(r.Host)), zap.String("path", shortened(r.URL.Path)), zap.Int64("version", version))
		g.scope.Counter("requests_refused").Inc(1)
		return
	}
	report := g.relay.Serve(r.Context(), w, q)
	g.recordRequest(q, version, report, time.Since(arrived))
	if report.Aborted {
		panic(http.ErrAbortHandler)
	}
}

// admit reads a request and resolves its route, the organisation that holds its key, and its
// service. It also returns the version of the configuration that applied, 0 if none did.
func (g *Gateway) admit(conn *http.ResponseController, r *http.Request, arrived time.Time, held *membudget.Claim) (*relay.Request, int64, *refusal) {
	q := &relay.Request{Method: r.Method, Target: r.RequestURI, Host: r.Host, Arrived: arrived, Held: held}
	limits := g.limits()
	if maxBytes := limits.MaxHeaderBytes; maxBytes > 0 && headerBytes(r) > maxBytes {
		return q, 0, &refusal{http.StatusRequestHeaderFieldsTooLarge, "the request headers exceed the configured limit", 0}
	}
	if !httpserver.Claim(g.memory, held, httpserver.HeaderCost(r.Header)) {
		return q, 0, g.noMemory("headers")
	}
	headers, err := g.codec.DecodeRequestHeaders(r.Header)
	q.CallerHeaders = headers
	if err != nil {
		return q, 0, &refusal{http.StatusBadRequest, err.Error(), 0}
	}
	table := g.tableInForce()
	if table == nil {
		return q, 0, &refusal{http.StatusServiceUnavailable, "this entry has not received a configuration yet", startupRetryAfter}
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	route, ok := table.Route(r.Host, path)
	if !ok {
		return q, table.Version, &refusal{http.StatusNotFound, "no route matches the request's host and path", 0}
	}
	q.Route, q.Priority = route, route.Priority
	if refused := authorise(table, q); refused != nil {
		return q, table.Version, refused
	}
	if refused := g.readBody(conn, r, q, limits.MaxBodyBytes, held); refused != nil {
		return q, table.Version, refused
	}
	service, ok := table.Service(pickService(route.Targets))
	if !ok {
		return q, table.Version, &refusal{http.StatusServiceUnavailable, "the configuration does not define the route's service", startupRetryAfter}
	}
	q.Service, q.Priorities = service, table.Priorities(service.Name)
	q.Header = relay.EndToEndHeaders(r.Header)
	return q, table.Version, nil
}

// tableInForce returns the configuration, or nil if there is none or the evacuations have not been read yet.
func (g *Gateway) tableInForce() *fleet.Table {
	if !g.operatorsRead.Load() {
		return nil
	}
	return g.table.Load()
}

// readBody reads the whole request body, no longer than until the request's deadline or the end of
// this process, and no larger than maxBytes. held claims the memory for it.
func (g *Gateway) readBody(conn *http.ResponseController, r *http.Request, q *relay.Request, maxBytes int64, held *membudget.Claim) *refusal {
	if r.Body == http.NoBody {
		return nil
	}
	if r.ContentLength > maxBytes {
		return &refusal{http.StatusRequestEntityTooLarge, "the request body exceeds the configured limit", 0}
	}
	// The error is ignored: only connections in tests do not support a read deadline.
	_ = conn.SetReadDeadline(q.Deadline())
	stop := context.AfterFunc(r.Context(), func() { _ = conn.SetReadDeadline(time.Now()) })
	defer stop()
	body, err := g.receive(r, maxBytes+1, held)
	switch {
	case errors.Is(err, membudget.ErrNoMemory):
		return g.noMemory("body")
	case !held.Complete():
		return g.noMemory("body") // it had to give way
	case errors.Is(err, os.ErrDeadlineExceeded) && r.Context().Err() != nil:
		return &refusal{http.StatusRequestTimeout, "this entry stops before the request body has arrived", startupRetryAfter}
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &refusal{http.StatusRequestTimeout, "the request body did not arrive before the request's deadline", startupRetryAfter}
	case err != nil:
		return &refusal{http.StatusBadRequest, "failed to read the request body", 0}
	case int64(len(body)) > maxBytes:
		return &refusal{http.StatusRequestEntityTooLarge, "the request body exceeds the configured limit", 0}
	}
	stop()
	_ = conn.SetReadDeadline(time.Time{})
	q.Body = body
	return nil
}

// authorise sets the request's organisation and priority from its key. A route that needs no
// key also accepts an unknown one.
func authorise(table *fleet.Table, q *relay.Request) *refusal {
	if !table.NeedsKey(q.Route) && q.Key == "" {
		return nil
	}
	holder, ok := table.OrganisationByKey(q.Key)
	if !ok {
		if !table.NeedsKey(q.Route) {
			return nil
		}
		return &refusal{http.StatusUnauthorized, "the API key belongs to no organisation", 0}
	}
	q.Organisation = holder.Name
	if holder.Priority != nil {
		q.Priority = *holder.Priority
	}
	return nil
}

// pickService picks one of a route's services at random, by weight.
func pickService(targets []fleet.Target) string {
	total := 0.0
	for _, t := range targets {
		total += t.Weight
	}
	point := rand.Float64() * total
	for _, t := range targets {
		if point -= t.Weight; point < 0 {
			return t.Service
		}
	}
	if len(targets) > 0 {
		return targets[len(targets)-1].Service
	}
	return ""
}

// recordRequest logs a finished request and updates its metrics.
func (g *Gateway) recordRequest(q *relay.Request, version int64, report relay.Report, took time.Duration) {
	g.latency[q.Route.Kind].RecordDuration(took)
	outcome := "answered"
	switch {
	case report.Aborted:
		outcome = "broken-off"
	case report.Reason != "":
		outcome = "refused"
	}
	g.scope.Tagged(map[string]string{"kind": string(q.Route.Kind), "outcome": outcome}).Counter("requests").Inc(1)
	g.countShortOfSlots(q, report)
	for _, a := range report.Attempts {
		if a.Malformed {
			g.scope.Tagged(map[string]string{"service": q.Service.Name}).Counter("responses_malformed").Inc(1)
		}
		if a.Uncertified {
			g.scope.Tagged(map[string]string{"service": q.Service.Name}).Counter("refusals_uncertified").Inc(1)
		}
	}
	g.log.Info("request", zap.String("request", q.ID), zap.String("route", q.Route.Name), zap.String("kind", string(q.Route.Kind)),
		zap.String("organisation", q.Organisation), zap.String("outcome", outcome), zap.Int("status", report.Status),
		zap.String("reason", report.Reason), zap.Int("events", report.Events), zap.String("waitedFor", report.WaitedFor), zap.Duration("waited", report.Waited),
		zap.Duration("took", took), zap.Int64("version", version), loggedIdentity(q, report), zap.Any("attempts", report.Attempts))
}

// loggedIdentity returns what a request has in common with others for its log line. It is of use only if
// the request was refused or an attempt failed.
func loggedIdentity(q *relay.Request, report relay.Report) zap.Field {
	if len(report.Attempts) <= 1 && report.Reason == "" {
		return zap.Skip()
	}
	return zap.Inline(requestIdentity{q})
}

// requestIdentity encodes the fingerprint and the shared parts of a request.
type requestIdentity struct{ *relay.Request }

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (i requestIdentity) MarshalLogObject(e zapcore.ObjectEncoder) error {
	e.AddString("fingerprint", i.Fingerprint())
	zap.Strings("sharedParts", i.SharedParts).AddTo(e)
	return nil
}
