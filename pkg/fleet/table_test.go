package fleet_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/fescuehub/fescuehub/pkg/fleet"
)

func TestLongestPrefixOfTheHostWins(t *testing.T) {
	table := fleet.NewTable(fleet.Configuration{
		Routes: []fleet.Route{
			{Name: "short", Host: "h.example", PathPrefix: "/a/"},
			{Name: "long", Host: "H.example", PathPrefix: "/a/b/"},
			{Name: "other", Host: "o.example", PathPrefix: "/a/"},
		},
		Services:      []fleet.Service{{Name: "s"}},
		Organisations: []fleet.Organisation{{Name: "org", Keys: []string{"k"}}},
	})
	for _, c := range []struct{ host, path, want string }{
		{"h.example", "/a/x", "short"}, {"h.example:80", "/a/b/x", "long"}, {"O.EXAMPLE", "/a/b/x", "other"},
		{"h.example", "/a", ""}, {"h.example", "/ab/", ""}, {"none", "/a/", ""},
	} {
		r, ok := table.Route(c.host, c.path)
		if ok != (c.want != "") || ok && r.Name != c.want {
			t.Errorf("%s%s: %+v", c.host, c.path, r)
		}
	}
	if o, ok := table.OrganisationByKey("k"); !ok || o.Name != "org" {
		t.Error("the organisation of the key is not found")
	}
	if !table.NeedsKey(&fleet.Route{}) || table.NeedsKey(&fleet.Route{Anonymous: true}) {
		t.Error("NeedsKey must be true except for anonymous routes")
	}
}

func TestRepeatableDependsOnKindAndResumable(t *testing.T) {
	for _, c := range []struct {
		route fleet.Route
		want  bool
	}{
		{fleet.Route{Kind: fleet.Safe}, true},
		{fleet.Route{Kind: fleet.Unsafe}, false},
		{fleet.Route{Kind: fleet.Unsafe, Resumable: true}, false},
		{fleet.Route{Kind: fleet.Streaming}, false},
		{fleet.Route{Kind: fleet.Streaming, Resumable: true}, true},
	} {
		if got := c.route.Repeatable(); got != c.want {
			t.Errorf("%+v: %v", c.route, got)
		}
	}
}

// TestPrioritiesOfService guards against a service that is given the priorities of another service's routes:
// its late requests would then not have the lowest priority.
func TestPrioritiesOfService(t *testing.T) {
	urgent := 0
	model, plain := []fleet.Target{{Service: "model", Weight: 1}}, []fleet.Target{{Service: "plain", Weight: 1}}
	c := fleet.Configuration{Routes: []fleet.Route{{Priority: 2, Targets: model}, {Priority: 1, Targets: model}, {Priority: 2, Targets: model}, {Priority: 3, Targets: plain}}}
	check := func(service string, want ...int) {
		t.Helper()
		if got := fleet.NewTable(c).Priorities(service); !slices.Equal(got, want) {
			t.Errorf("service %s: priorities %v, want %v", service, got, want)
		}
	}
	check("model", 1, 2)
	check("plain", 3)
	check("other")
	c.Organisations = []fleet.Organisation{{Name: "a"}, {Name: "b", Priority: &urgent}}
	check("model", 0, 1, 2)
	check("plain", 0, 3)
}

// BenchmarkNewTable measures the index of a configuration of 1,600 routes and 4,900 organisations, half of which
// have a priority of their own.
func BenchmarkNewTable(b *testing.B) {
	var c fleet.Configuration
	for n := range 1600 {
		c.Routes = append(c.Routes, fleet.Route{Host: fmt.Sprint("h", n), Priority: n % 3, Targets: []fleet.Target{{Service: fmt.Sprint("s", n%8)}}})
	}
	for n := range 4900 {
		o := fleet.Organisation{Name: fmt.Sprint("o", n), Keys: []string{fmt.Sprint("k", n)}}
		if n%2 == 0 {
			o.Priority = new(int)
			*o.Priority = n % 10
		}
		c.Organisations = append(c.Organisations, o)
	}
	b.ReportAllocs()
	for b.Loop() {
		fleet.NewTable(c)
	}
}
