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

// TestReadSinceFollowsTheList reads after each change and fault what a reader
// of the whole list would see.
func TestReadSinceFollowsTheList(t *testing.T) {
	service := instancelist.New([]peer.Instance{{Name: "a"}, {Name: "b"}})
	server := httptest.NewServer(service.Handler())
	defer server.Close()
	restarted := instancelist.New([]peer.Instance{{Name: "z"}})
	other := httptest.NewServer(restarted.Handler())
	defer other.Close()
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
		{"thawed", func() { service.Faults.Set(instancelist.Faults{}) }, "a:leaving c d"},
		{"empty", func() { service.Faults.Set(instancelist.Faults{Empty: true}) }, ""},
		{"full again", func() { service.Faults.Set(instancelist.Faults{}) }, "a:leaving c d"},
		{"older", func() { service.Faults.Set(instancelist.Faults{LagMS: 3_600_000}) }, "a b"},
		{"another epoch", func() { client = peer.New(other.URL) }, "z"},
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
			t.Errorf("%s: %q, not %q", s.name, got, s.want)
		}
	}
}
