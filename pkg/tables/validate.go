package tables

import (
	"fmt"
	"net/http"
	"regexp"
	"slices"
	"strings"

	"github.com/fescuehub/fescuehub/pkg/strictjson"
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]*$`)

var knownMethods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
	http.MethodPatch, http.MethodDelete, http.MethodOptions,
}

// CheckRoute returns the faults of a route. It does not check whether the
// route's pool exists.
func CheckRoute(r Route) []strictjson.Fault {
	place := "routes." + r.Name
	faults := checkName(place, r.Name)
	if r.Pool == "" {
		faults = append(faults, strictjson.NewFault(place+".pool", "no pool is named", "name the pool that serves the route"))
	}
	if r.DeadlineMS < 0 || r.DeadlineMS > MaxDeadlineMS {
		faults = append(faults, outOfRange(place+".deadlineMS", r.DeadlineMS, 0, MaxDeadlineMS))
	}
	for _, m := range r.Unrepeatable {
		if !slices.Contains(knownMethods, m) {
			faults = append(faults, strictjson.NewFault(place+".unrepeatable", fmt.Sprintf("%q is not an HTTP method", m), "write the method in capitals, such as POST"))
		}
	}
	return append(faults, checkOrganisations(place, r.Organisations)...)
}

// CheckPool returns the faults of a pool.
func CheckPool(p Pool) []strictjson.Fault {
	place := "pools." + p.Name
	faults := checkName(place, p.Name)
	if p.Kind != Model && p.Kind != Service {
		faults = append(faults, strictjson.NewFault(place+".kind", fmt.Sprintf("unknown kind %q", p.Kind), `write "model" or "service"`))
	}
	if p.Concurrency < 1 || p.Concurrency > MaxConcurrency {
		faults = append(faults, outOfRange(place+".concurrency", p.Concurrency, 1, MaxConcurrency))
	}
	if p.QueueLimit < 0 {
		faults = append(faults, strictjson.NewFault(place+".queueLimit", "it is negative", "write 0 for the default or a positive number"))
	}
	if p.SkewWeight < 0 || p.SkewWeight > 1 {
		faults = append(faults, strictjson.NewFault(place+".skewWeight", fmt.Sprintf("%v is not within 0 and 1", p.SkewWeight), "write a number from 0 (cost first) to 1 (skew first)"))
	}
	return faults
}

// MissingPool returns the fault of a route whose pool is not in the table.
func MissingPool(r Route) strictjson.Fault {
	return strictjson.Fault{
		Place:  "routes." + r.Name + ".pool",
		Detail: fmt.Sprintf("there is no pool %q", r.Pool),
		Remedy: "add the pool in the same edit, or name one that exists",
	}
}

func checkOrganisations(place string, list []Organisation) []strictjson.Fault {
	faults := CheckOrganisationCount(strings.TrimPrefix(place, "routes."), len(list))
	seen := make(map[string]bool, len(list))
	for i, o := range list {
		at := fmt.Sprintf("%s.organisations[%d]", place, i)
		if seen[o.Name] {
			faults = append(faults, strictjson.NewFault(at, fmt.Sprintf("organisation %q is listed twice", o.Name), "keep one of the two"))
		}
		seen[o.Name] = true
		faults = append(faults, CheckOrganisation(at, o)...)
	}
	return faults
}

// CheckOrganisation returns the faults of an organisation of a route.
func CheckOrganisation(place string, o Organisation) []strictjson.Fault {
	faults := checkName(place, o.Name)
	if o.Share < 0 {
		faults = append(faults, strictjson.NewFault(place+".share", "it is negative", "write a positive weight"))
	}
	if o.Class != "" && o.Class != Interactive && o.Class != Batch {
		faults = append(faults, strictjson.NewFault(place+".class", fmt.Sprintf("unknown class %q", o.Class), `write "interactive" or "batch"`))
	}
	return faults
}

// CheckOrganisationCount returns the fault of a route with too many
// organisations.
func CheckOrganisationCount(route string, n int) []strictjson.Fault {
	if n <= MaxOrganisations {
		return nil
	}
	return []strictjson.Fault{outOfRange("routes."+route+".organisations", n, 0, MaxOrganisations)}
}

func checkName(place, name string) []strictjson.Fault {
	if len(name) > MaxNameLengthBytes || !namePattern.MatchString(name) {
		return []strictjson.Fault{strictjson.NewFault(place+".name", fmt.Sprintf("%q is not a name", name), "use 1 to 64 small letters, digits, dots and dashes")}
	}
	return nil
}

func outOfRange(place string, got, low, high int) strictjson.Fault {
	return strictjson.NewFault(place, fmt.Sprintf("%d is out of range", got), fmt.Sprintf("write a number from %d to %d", low, high))
}
