package balance_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/fescuehub/fescuehub/pkg/balance"
	"github.com/fescuehub/fescuehub/pkg/coldstart"
	"github.com/fescuehub/fescuehub/pkg/fleet"
	"github.com/fescuehub/fescuehub/pkg/ratelimit"
)

// TestBrokenGroupIsNotPreferredToRecoveringServers guards against requests to a group that refuses them all, because
// the engines of the sound group were cold until lately and have got this entry's share.
func TestBrokenGroupIsNotPreferredToRecoveringServers(t *testing.T) {
	service := &fleet.Service{Name: "s", ColdPerSecond: 1, Engine: &fleet.Engine{Slots: 10}}
	l := coldstart.New("front-0", coldstart.Bounds{})
	l.SetServices([]fleet.Service{*service})
	now := time.Unix(1_700_000_000, 0)
	l.EntriesRead(now)
	b := balance.New(ratelimit.New(""))
	b.LimitCold(l)
	var list []fleet.Server
	for n := range 4 {
		s := fleet.Server{ID: fmt.Sprint("i-", n), Service: "s", Address: fmt.Sprintf("h%d:1", n), Incarnation: 1, Sequence: 1, Group: "sound"}
		if n >= 2 {
			s.Group = "broken"
		} else {
			s.WarmupLeft = time.Second
		}
		list = append(list, s)
		l.Announce(now, s)
	}
	b.SetServers(list)
	now = now.Add(1500 * time.Millisecond)
	for _, s := range list[:2] {
		for range 8 {
			l.Take(now, s)
		}
		if state := l.Admission(now, s); state != coldstart.Recovering {
			t.Fatalf("the state of %s is %d, want recovering; the test does not show anything", s.ID, state)
		}
	}
	random := func() float64 { return 0.5 }
	if s, ok := b.Choose(now, service, nil, random); !ok || s.Group != "broken" {
		t.Errorf("chose %q of group %q while both groups are sound, want one that was not cold", s.ID, s.Group)
	}
	b.UpdateGroup(now, "s", "broken", fleet.GroupBroken, nil)
	if s, ok := b.Choose(now, service, nil, random); !ok || s.Group != "sound" {
		t.Errorf("chose %q of group %q, want a server of the sound group", s.ID, s.Group)
	}
	for _, c := range b.Explain(now, service).Servers {
		if c.Group == "broken" && c.LeftOut == "" {
			t.Errorf("the explanation offers %s of the broken group", c.ID)
		}
	}
}
