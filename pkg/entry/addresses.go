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

// OrganisationHeader names the caller's organisation.
const OrganisationHeader = "Fescue-Organisation"

// Address is one entry that a caller may connect to.
type Address struct {
	Address       string `json:"address"`
	FailureDomain string `json:"failureDomain"`
}

// AddressAnswer tells a caller which addresses to use, in order of
// preference, and for how long.
type AddressAnswer struct {
	Addresses       []Address `json:"addresses"`
	LifetimeSeconds int       `json:"lifetimeSeconds"`
	// Permits are keys for unrepeatable calls of the route that was asked for,
	// each for one call. They are good for PermitSeconds.
	Permits       []string `json:"permits,omitempty"`
	PermitSeconds int      `json:"permitSeconds,omitempty"`
}

func (e *Entry) serveAddresses(w http.ResponseWriter, r *http.Request) {
	answer := AddressAnswer{
		Addresses:       e.addressesFor(r),
		LifetimeSeconds: e.settings.AddressLifetimeSeconds,
	}
	if len(answer.Addresses) == 0 {
		problem.Write(w, problem.New(problem.Unavailable, "ask again, or ask another entry",
			"no entry is known to be serving").WithRetryAfter(time.Second))
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

// addressesFor returns the caller's entries. Entries that leave are not named.
func (e *Entry) addressesFor(r *http.Request) []Address {
	named := make(map[routing.Node]instancelist.Instance)
	var nodes []routing.Node
	for _, i := range e.members.withRole(instancelist.Entry) {
		if i.State == instancelist.Live && !e.departures.leaving(i.Name) {
			nodes = append(nodes, nodeOf(i))
			named[nodeOf(i)] = i
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
		out[i] = Address{Address: named[n].CallerAddress, FailureDomain: n.FailureDomain}
	}
	return out
}
