package entry

import (
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/fescuehub/fescuehub/pkg/peer/instancelist"
	"github.com/fescuehub/fescuehub/pkg/problem"
	"github.com/fescuehub/fescuehub/pkg/routing"
)

// OrganisationHeader is the request header with the caller's organisation.
const OrganisationHeader = "Fescue-Organisation"

// Address is an entry that the caller may connect to.
type Address struct {
	Address       string `json:"address"`
	FailureDomain string `json:"failureDomain"`
}

// AddressAnswer lists the addresses that a caller should use, in order of preference, and how
// long it may cache them.
type AddressAnswer struct {
	Addresses       []Address `json:"addresses"`
	LifetimeSeconds int       `json:"lifetimeSeconds"`
	// Permits are keys for unrepeatable calls of the requested route, each valid for one call,
	// until PermitSeconds after the answer.
	Permits       []string `json:"permits,omitempty"`
	PermitSeconds int      `json:"permitSeconds,omitempty"`
}

func (e *Entry) serveAddresses(w http.ResponseWriter, r *http.Request) {
	answer := AddressAnswer{
		Addresses:       e.addressesFor(r),
		LifetimeSeconds: e.settings.AddressLifetimeSeconds,
	}
	if len(answer.Addresses) == 0 {
		problem.Write(w, problem.New(problem.Unavailable, "send the query again, or send it to another entry",
			"the instance list has no live entry that is not draining").WithRetryAfter(time.Second))
		return
	}
	if route := r.URL.Query().Get("permitsFor"); route != "" {
		var err error
		if answer.Permits, err = e.permitsFor(r.Context(), route); err != nil {
			problem.Write(w, err)
			return
		}
		answer.PermitSeconds = int(permitLifetime.Seconds())
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer)
}

// addressesFor returns the entries that the caller should use, without draining ones.
func (e *Entry) addressesFor(r *http.Request) []Address {
	byNode := make(map[routing.Node]instancelist.Instance)
	var nodes []routing.Node
	for _, i := range e.members.withRole(instancelist.Entry) {
		if i.State == instancelist.Live && !e.departures.leaving(i.Name) {
			nodes = append(nodes, nodeOf(i))
			byNode[nodeOf(i)] = i
		}
	}
	organisation := r.Header.Get(OrganisationHeader)
	host, _, _ := net.SplitHostPort(r.RemoteAddr)
	chosen := routing.Addresses(routing.Caller{
		Organisation:  organisation,
		Share:         e.config.View().ShareOf(organisation),
		Key:           host,
		FailureDomain: e.settings.FailureDomain,
	}, nodes)
	out := make([]Address, len(chosen))
	for i, n := range chosen {
		out[i] = Address{Address: byNode[n].CallerAddress, FailureDomain: n.FailureDomain}
	}
	return out
}
