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
	// routes holds the routes of a host, longest prefix first.
	routes   map[string][]*Route
	services map[string]*Service
	holders  map[string]*Organisation
}

// NewTable indexes a configuration.
func NewTable(c Configuration) *Table {
	t := &Table{
		Configuration: c,
		routes:        make(map[string][]*Route),
		services:      make(map[string]*Service),
		holders:       make(map[string]*Organisation),
	}
	for i := range c.Routes {
		host := normalHost(c.Routes[i].Host)
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
			t.holders[key] = &c.Organisations[i]
		}
	}
	return t
}

// Route returns the route of a host with the longest prefix of the path.
func (t *Table) Route(host, path string) (*Route, bool) {
	for _, r := range t.routes[normalHost(host)] {
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
	o, ok := t.holders[key]
	return o, ok
}

// NeedsKey reports whether requests of a route carry a key.
func (t *Table) NeedsKey(r *Route) bool { return len(t.Organisations) > 0 && !r.Anonymous }

// normalHost drops the port of a host and its case.
func normalHost(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}
