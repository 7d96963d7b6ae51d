package instancelist_test

import (
	"context"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"

	peer "github.com/fescuehub/fescuehub/pkg/peer/instancelist"
	"github.com/fescuehub/fescuehub/pkg/standin/instancelist"
)

// TestReadSinceReturnsTheVisibleList guards against a list that becomes wrong when the client merges
// changes into it. It reads changes after each edit and fault, and expects the list that a read of
// the complete list would return.
func TestReadSinceReturnsTheVisibleList(t *testing.T) {
	service := instancelist.New([]peer.Instance{{Name: "a"}, {Name: "b"}})
	server := httptest.NewServer(service.Handler())
	defer server.Close()
	recreated := instancelist.New([]peer.Instance{{Name: "z"}})
	recreatedServer := httptest.NewServer(recreated.Handler())
	defer recreatedServer.Close()
	client := peer.New(server.URL)
	var list peer.List
	steps := []struct {
		name string
		do   func()
		want string
	}{
		{"first", func() {}, "a b"},
		{"unchanged", func() {}, "a b"},
		{"added", func() { service.Put(peer.Instance{Name: "c"}) }, "a b c"},
		{"changed", func() { service.Put(peer.Instance{Name: "a", State: peer.Leaving}) }, "a:leaving b c"},
		{"removed", func() { service.Remove("b") }, "a:leaving c"},
		{"frozen", func() {
			service.Faults.Set(instancelist.Faults{Frozen: true})
			service.Put(peer.Instance{Name: "d"})
		}, "a:leaving c"},
		{"unfrozen", func() { service.Faults.Set(instancelist.Faults{}) }, "a:leaving c d"},
		{"empty", func() { service.Faults.Set(instancelist.Faults{Empty: true}) }, ""},
		{"not empty again", func() { service.Faults.Set(instancelist.Faults{}) }, "a:leaving c d"},
		{"older", func() { service.Faults.Set(instancelist.Faults{LagMS: 3_600_000}) }, "a b"},
		{"another epoch", func() { client = peer.New(recreatedServer.URL) }, "z"},
	}
	for _, s := range steps {
		s.do()
		var err error
		if list, err = client.ReadSince(context.Background(), list); err != nil {
			t.Fatalf("%s: %v", s.name, err)
		}
		var names []string
		for _, i := range list.Instances {
			name := i.Name
			if i.State != "" {
				name += ":" + string(i.State)
			}
			names = append(names, name)
		}
		slices.Sort(names)
		if got := strings.Join(names, " "); got != s.want {
			t.Errorf("%s: got %q, want %q", s.name, got, s.want)
		}
	}
}
