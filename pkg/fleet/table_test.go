package fleet_test

import (
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
		t.Error("the key's holder is not found")
	}
	if !table.NeedsKey(&fleet.Route{}) || table.NeedsKey(&fleet.Route{Anonymous: true}) {
		t.Error("who needs a key")
	}
}

func TestWhatMayRepeatFollowsFromTheKind(t *testing.T) {
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
