package entry

import (
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuehub/fescuehub/pkg/answer"
	"github.com/fescuehub/fescuehub/pkg/httphead"
	"github.com/fescuehub/fescuehub/pkg/ident"
	"github.com/fescuehub/fescuehub/pkg/problem"
	"github.com/fescuehub/fescuehub/pkg/tables"
	"github.com/fescuehub/fescuehub/pkg/writeonce"
)

// exchange is one request of a caller and the state of its answer.
type exchange struct {
	route        tables.Route
	pool         tables.Pool
	organisation tables.Organisation
	deadline     time.Time
	method       string
	path         string
	header       http.Header
	body         []byte
	// stream is true if the answer is a stream of server-sent events.
	stream bool
	// idempotent is true if the request may be sent again after an unknown outcome.
	idempotent bool
	// call is set for unrepeatable calls. keyless is true if the caller sent no key; renewals
	// counts the keys that the entry has generated to replace the first one.
	call     *writeonce.Call
	keyless  bool
	renewals int
	// owner is the agent that the last failure named as the owner of the key.
	owner ident.Incarnation
	// adapter and prefixHash are the inputs to routing of a model request.
	adapter    string
	prefixHash uint64
	attempt    ident.AttemptID
	// mayHaveRun is true once an attempt ended without proof that it did not run.
	mayHaveRun bool
	answer     *answer.Assembler
	out        *answerWriter
	tokens     *tokenTimer
}

// keyText returns the idempotency key, or an empty string for a repeatable call.
func (x *exchange) keyText() string {
	if x.call == nil {
		return ""
	}
	return x.call.Key.String()
}

// prepareAnswer sets up the assembler and the writer of the answer.
func (x *exchange) prepareAnswer(w http.ResponseWriter) {
	x.answer = answer.New(x.stream, maxBufferedAnswerBytes)
	x.tokens = newTokenTimer(w)
	x.out = newAnswerWriter(x.tokens, x.stream)
}

// recordFailure updates mayHaveRun after a failed attempt.
func (x *exchange) recordFailure(err error) {
	if problem.Of(err).Outcome != problem.NotRun {
		x.mayHaveRun = true
	}
}

// withRequestOutcome returns the error with the outcome of the whole request, which is NotRun
// only if no attempt may have run.
func (x *exchange) withRequestOutcome(err error) *problem.Error {
	p := problem.Of(err)
	if p.Outcome == problem.NotRun && x.mayHaveRun {
		return p.WithOutcome(problem.NotKnown)
	}
	return p
}

// checkRefusal returns an error for the status of an answer that tells callers to send the request again, although the
// backend server may have run it. Agents pass on no refusal that the backend server has certified.
func (x *exchange) checkRefusal(status int) error {
	if x.idempotent || !httphead.IsRefusal(status) {
		return nil
	}
	return problem.New(problem.NotCertified, "check at the service whether the action was carried out",
		"the service answered with status %d, but did not certify that it has not executed the call", status).WithOutcome(problem.NotKnown)
}

// withoutPromise returns the final error of a request with another kind if its status would tell the caller to send the
// request again, although an attempt may have run.
func (x *exchange) withoutPromise(p *problem.Error) *problem.Error {
	mayHaveRun := x.mayHaveRun || x.call != nil && len(x.call.UncertainAgents()) > 0
	if x.idempotent || !mayHaveRun || p.Outcome == problem.NotRun || !httphead.IsRefusal(p.Status()) {
		return p
	}
	return problem.New(problem.NotCertified, p.Remedy, "an attempt may have run; the last one ended with %s: %s", p.Kind, p.Detail).WithOutcome(p.Outcome)
}

// readBody reads a request body within the limits of the settings. The error kinds are TooLarge
// and BadRequest.
func (e *Entry) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	control := http.NewResponseController(w)
	limit := time.Duration(e.settings.BodySeconds) * time.Second
	if err := control.SetReadDeadline(time.Now().Add(limit)); err != nil {
		return nil, errors.Wrap(err, "set the read deadline of a request body")
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(e.settings.MaxBodyBytes)))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, problem.New(problem.TooLarge, "send a smaller body, or raise maxBodyBytes",
			"the body is larger than %d bytes", tooLarge.Limit).WithOutcome(problem.NotRun)
	}
	if err != nil {
		return nil, problem.New(problem.BadRequest, "send the whole body within bodySeconds",
			"the body did not arrive within %v: %v", limit, err).WithOutcome(problem.NotRun)
	}
	return body, errors.Wrap(control.SetReadDeadline(time.Time{}), "clear the read deadline of a request body")
}

// open resolves the route, its pool and the caller's organisation. It refuses a request that may outlast this entry.
func (e *Entry) open(r *http.Request, routeName string) (*exchange, error) {
	route, pool, err := e.config.View().Route(routeName)
	if err != nil {
		return nil, err
	}
	name := r.Header.Get(OrganisationHeader)
	organisation, ok := route.FindOrganisation(name)
	if !ok {
		return nil, problem.New(problem.UnknownOrganisation,
			"send the "+OrganisationHeader+" header with an organisation of the route, or add it to the route",
			"route %q does not list organisation %q", routeName, name).WithOutcome(problem.NotRun)
	}
	deadline := time.Now().Add(time.Duration(route.Deadline()) * time.Millisecond)
	if err := e.lifecycle.Admit(deadline); err != nil {
		return nil, err
	}
	return &exchange{
		route:        route,
		pool:         pool,
		organisation: organisation,
		deadline:     deadline,
		method:       r.Method,
	}, nil
}

// notReady returns an error while this entry must not serve its configuration.
func (e *Entry) notReady() error { return e.follower.Ready() }
