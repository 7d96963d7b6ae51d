package fleet

import (
	"cmp"
	"net"
	"slices"
	"strings"
)

// Table is a configuration indexed for lookups. It is immutable.
type Table struct {
	Configuration
	// routes holds the routes of each host, longest prefix first.
	routes   map[string][]*Route
	services map[string]*Service
	// organisationsByKey holds the organisations by key.
	organisationsByKey map[string]*Organisation
	// priorities holds the priorities that requests to each service can have, in ascending order.
	priorities map[string][]int
}

// NewTable indexes a configuration.
func NewTable(c Configuration) *Table {
	t := &Table{
		Configuration:      c,
		routes:             make(map[string][]*Route),
		services:           make(map[string]*Service),
		organisationsByKey: make(map[string]*Organisation),
		priorities:         make(map[string][]int),
	}
	for i := range c.Routes {
		host := normaliseHost(c.Routes[i].Host)
		t.routes[host] = append(t.routes[host], &c.Routes[i])
	}
	for _, routes := range t.routes {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)) })
	}
	for i := range c.Services {
		t.services[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.Organisations {
		for _, key := range c.Organisations[i].Keys {
			t.organisationsByKey[key] = &c.Organisations[i]
		}
	}
	t.indexPriorities()
	return t
}

// indexPriorities collects the priorities of each service's routes and those of the organisations, which
// override them.
func (t *Table) indexPriorities() {
	// Collected once: a configuration can have thousands of routes and of organisations.
	var own []int
	for _, o := range t.Organisations {
		if o.Priority != nil {
			own = append(own, *o.Priority)
		}
	}
	for _, r := range t.Routes {
		for _, target := range r.Targets {
			t.priorities[target.Service] = append(t.priorities[target.Service], r.Priority)
		}
	}
	slices.Sort(own)
	own = slices.Compact(own)
	for service, list := range t.priorities {
		list = append(list, own...)
		slices.Sort(list)
		t.priorities[service] = slices.Compact(list)
	}
}

// Priorities returns the priorities that requests to a service can have, in ascending order, so the most
// urgent one first. The caller must not change the slice.
func (t *Table) Priorities(service string) []int { return t.priorities[service] }

// Route returns the route of the host with the longest matching path prefix.
func (t *Table) Route(host, path string) (*Route, bool) {
	for _, r := range t.routes[normaliseHost(host)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r, true
		}
	}
	return nil, false
}

// Service returns a service by its name.
func (t *Table) Service(name string) (*Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// OrganisationByKey returns the organisation that holds a key.
func (t *Table) OrganisationByKey(key string) (*Organisation, bool) {
	o, ok := t.organisationsByKey[key]
	return o, ok
}

// NeedsKey reports whether requests of a route must carry a key.
func (t *Table) NeedsKey(r *Route) bool { return len(t.Organisations) > 0 && !r.Anonymous }

// normaliseHost returns the host in lower case and without its port.
func normaliseHost(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}
