package entry

import (
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuehub/fescuehub/pkg/answer"
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
	// stream is true where the answer is a stream of server-sent events.
	stream bool
	// idempotent requests may be sent again after an unknown outcome.
	idempotent bool
	// call is set on unrepeatable calls. keyless ones came without a key.
	call     *writeonce.Call
	keyless  bool
	renewals int
	// owner is the agent that the last failure named as owner of the key.
	owner ident.Incarnation
	// adapter and prefixHash describe a model request to routing.
	adapter    string
	prefixHash uint64
	attempt    ident.AttemptID
	// mayHaveRun is true once an attempt ended without being certified as not
	// run.
	mayHaveRun bool
	answer     *answer.Assembler
	out        *answerWriter
	watch      *streamWatch
}

// keyText returns the idempotency key, or empty for a call without one.
func (x *exchange) keyText() string {
	if x.call == nil {
		return ""
	}
	return x.call.Key.String()
}

// answerTo prepares the answer of the exchange.
func (x *exchange) answerTo(w http.ResponseWriter) {
	x.answer = answer.New(x.stream, heldAnswerBytes)
	x.watch = newStreamWatch(w)
	x.out = newAnswerWriter(x.watch, x.stream)
}

// note remembers what is known of an attempt that failed.
func (x *exchange) note(err error) {
	if problem.Of(err).Outcome != problem.NotRun {
		x.mayHaveRun = true
	}
}

// truthful returns the error with the outcome of the whole request: it did not
// run only if none of its attempts did.
func (x *exchange) truthful(err error) error {
	p := problem.Of(err)
	if p.Outcome == problem.NotRun && x.mayHaveRun {
		return p.WithOutcome(problem.NotKnown)
	}
	return p
}

// readBody reads the body of a request within the bounds of the settings. The
// error kinds are TooLarge and BadRequest.
func (e *Entry) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	control := http.NewResponseController(w)
	limit := time.Duration(e.settings.BodySeconds) * time.Second
	if err := control.SetReadDeadline(time.Now().Add(limit)); err != nil {
		return nil, errors.Wrap(err, "bound the reading of a body")
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
	return body, errors.Wrap(control.SetReadDeadline(time.Time{}), "unbound the connection")
}

// open finds the route, its pool and the caller's organisation.
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
	return &exchange{
		route:        route,
		pool:         pool,
		organisation: organisation,
		deadline:     time.Now().Add(time.Duration(route.Deadline()) * time.Millisecond),
		method:       r.Method,
	}, nil
}

// notReady returns an error while the configuration here must not be served.
func (e *Entry) notReady() error { return e.follower.Ready() }
