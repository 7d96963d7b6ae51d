package entry

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fescuehub/fescuehub/pkg/drain"
	"github.com/fescuehub/fescuehub/pkg/peer/instancelist"
	"github.com/fescuehub/fescuehub/pkg/problem"
)

// OrganisationHeader names the caller's organisation.
const OrganisationHeader = "Fescue-Organisation"

// addressesPerAnswer is the size of the subset of entries that one
// organisation is spread over.
const addressesPerAnswer = 3

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
		Addresses:       e.addressesFor(r.Header.Get(OrganisationHeader)),
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

// addressesFor returns the organisation's stable subset of the entries: those
// with the highest rendezvous hashes.
func (e *Entry) addressesFor(organisation string) []Address {
	var live []instancelist.Instance
	for _, i := range e.members.withRole(instancelist.Entry) {
		leaving := i.Name == e.settings.Name && e.life.Phase() != drain.Serving
		if i.State == instancelist.Live && !leaving {
			live = append(live, i)
		}
	}
	slices.SortFunc(live, func(a, b instancelist.Instance) int {
		x, y := rendezvous(organisation, a.Name), rendezvous(organisation, b.Name)
		if x > y {
			return -1
		}
		return 1
	})
	live = live[:min(len(live), addressesPerAnswer)]
	out := make([]Address, len(live))
	for i, l := range live {
		out[i] = Address{Address: l.CallerAddress, FailureDomain: l.FailureDomain}
	}
	return out
}

func rendezvous(organisation, entry string) uint64 {
	return xxhash.Sum64String(organisation + "\x00" + entry)
}
